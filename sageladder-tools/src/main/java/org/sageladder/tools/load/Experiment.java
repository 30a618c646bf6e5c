package org.sageladder.tools.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.sageladder.core.contract.Contract;

/**
 * What an experiment sends, what it breaks and what must hold.
 *
 * @param contract the contract that the system runs and the checks go by
 * @param seed seed of all draws; equal seeds give equal arrivals
 * @param warmUp time from the first arrival during which latency and headroom do not count, because
 *     freshly started processes run code that is not compiled yet; all else counts from the start
 * @param entriesPerZone entry VMs in each zone where the experiment starts the system itself
 */
public record Experiment(
    String name,
    Contract contract,
    long seed,
    int entriesPerZone,
    Duration warmUp,
    List<Load> loads,
    List<Fault> faults,
    Limits limits) {
  /** Copies the lists, so that the experiment cannot change. */
  public Experiment {
    loads = List.copyOf(loads);
    faults = List.copyOf(faults);
  }

  /** Reads an experiment; see {@link ExperimentYaml}. */
  public static Experiment read(Path file)
      throws org.sageladder.platform.settings.SettingsException {
    return ExperimentYaml.read(file);
  }

  /**
   * Requests to one service.
   *
   * @param weights share of the callers in each region; all regions alike where empty
   * @param deadline longest time a caller waits, all tries together
   * @param answerBytes size of each answer's body
   * @param steps rates that follow one another
   */
  public record Load(
      String service,
      List<RegionWeight> weights,
      Duration deadline,
      int answerBytes,
      List<RateStep> steps) {
    /** Copies the lists, so that the load cannot change. */
    public Load {
      weights = List.copyOf(weights);
      steps = List.copyOf(steps);
    }
  }

  /** How many of the callers are in a region, relative to the other weights. */
  public record RegionWeight(String region, double weight) {}

  /** Poisson arrivals at {@code rate} requests a second for a while. */
  public record RateStep(Duration duration, double rate) {}

  /** What an injected fault does. */
  public enum FaultKind {
    /** Ends an entry VM without warning. */
    KILL_ENTRY,
    /** Begins a planned stop of an entry VM. */
    STOP_ENTRY,
    /** Announces a target's end; it finishes what it runs. */
    DRAIN_TARGET,
    /** Ends a target without warning; it comes back. */
    CRASH_TARGET,
    /** Makes a target slower by {@code factor}. */
    SLOW_TARGET,
    /** Makes a target refuse all work. */
    SHED_TARGET,
    /** Makes a target's load report claim that all its slots are free. */
    MISLEADING_LOAD,
    /** Makes the store refuse every call. */
    STORE_DOWN,
    /** Has a changed contract accepted. */
    CHANGE_CONTRACT
  }

  /**
   * A fault to inject.
   *
   * @param at time after the first arrival
   * @param zone zone of what is hit; any where empty
   * @param service service of the target that is hit; any where empty
   * @param duration time after which it is undone, where it can be; zero means never
   * @param factor how much slower, for {@link FaultKind#SLOW_TARGET}
   */
  public record Fault(
      Duration at, FaultKind kind, String zone, String service, Duration duration, double factor) {}

  /** What must hold of one service. */
  public record ServiceLimit(
      String service,
      double percentile,
      Duration latencyAtMost,
      double wholeAtLeast,
      double headroomAtLeast) {}

  /**
   * What must hold besides what always must: at most one run of what must not repeat, true
   * refusals, whole answers, caps and slots.
   *
   * @param unknownAtMost share of requests that may end without it being known whether they ran
   * @param noNewWorkAfter a leaving target starts nothing later than this after the sign
   * @param drainWithin a leaving target is idle this long after the sign
   * @param inForceWithin an accepted contract is in force everywhere this long after
   */
  public record Limits(
      List<ServiceLimit> services,
      double unknownAtMost,
      Duration noNewWorkAfter,
      Duration drainWithin,
      Duration inForceWithin) {
    /** Copies the list, so that the limits cannot change. */
    public Limits {
      services = List.copyOf(services);
    }
  }

  /** Time from the first arrival to the last. */
  public Duration duration() {
    Duration longest = Duration.ZERO;
    for (Load load : loads) {
      Duration length =
          load.steps().stream().map(RateStep::duration).reduce(Duration.ZERO, Duration::plus);
      longest = length.compareTo(longest) > 0 ? length : longest;
    }
    return longest;
  }
}
