package org.sageladder.tools.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.sageladder.core.contract.Contract;

/**
 * Definition of an experiment: the requests to send, the faults to inject and the limits to check.
 *
 * @param contract contract that the system runs and the checks use
 * @param seed seed of all random draws; equal seeds give equal arrivals
 * @param warmUp initial time during which latency and headroom are not measured, because freshly
 *     started processes run code that is not yet JIT-compiled; everything else is measured from the
 *     start
 * @param entriesPerZone number of entry VMs in each zone, if the experiment starts the system
 *     itself
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
  /** Copies the lists, which makes the record immutable. */
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
   * The requests to one service.
   *
   * @param weights relative number of callers in each region; uniform over the regions if empty
   * @param deadline total time that a caller waits, over all attempts
   * @param answerBytes size of each answer's body
   * @param steps consecutive request rates
   */
  public record Load(
      String service,
      List<RegionWeight> weights,
      Duration deadline,
      int answerBytes,
      List<RateStep> steps) {
    /** Copies the lists, which makes the record immutable. */
    public Load {
      weights = List.copyOf(weights);
      steps = List.copyOf(steps);
    }
  }

  /** Number of callers in a region, relative to the other weights. */
  public record RegionWeight(String region, double weight) {}

  /** Poisson arrivals at {@code rate} requests per second for {@code duration}. */
  public record RateStep(Duration duration, double rate) {}

  /** Kind of an injected fault. */
  public enum FaultKind {
    /** Kills an entry VM without warning. */
    KILL_ENTRY,
    /** Starts a planned stop of an entry VM. */
    STOP_ENTRY,
    /** Drains a target: its stop is announced, and it completes the requests in progress. */
    DRAIN_TARGET,
    /** Kills a target without warning; it restarts. */
    CRASH_TARGET,
    /** Multiplies the service time of a target by {@code factor}. */
    SLOW_TARGET,
    /** Makes a target refuse all requests. */
    SHED_TARGET,
    /** Makes a target's load report claim that all its slots are free. */
    MISLEADING_LOAD,
    /** Makes the store refuse every call. */
    STORE_DOWN,
    /** Applies a changed contract. */
    CHANGE_CONTRACT
  }

  /**
   * A fault to inject.
   *
   * @param at time of the injection, relative to the start of the experiment
   * @param zone zone of the affected VM; any zone if empty
   * @param service service of the affected target; any service if empty
   * @param duration time after which the fault is undone, if it can be; zero means never
   * @param factor multiple of the service time, for {@link FaultKind#SLOW_TARGET}
   */
  public record Fault(
      Duration at, FaultKind kind, String zone, String service, Duration duration, double factor) {}

  /** Limits that one service must meet. */
  public record ServiceLimit(
      String service,
      double percentile,
      Duration latencyAtMost,
      double wholeAtLeast,
      double headroomAtLeast) {}

  /**
   * Limits of the experiment. They add to the properties that are checked in every experiment:
   * non-repeatable requests run at most once, refused requests did not run, answers are complete,
   * and shift caps and slots are respected.
   *
   * @param unknownAtMost maximum fraction of requests for which it is unknown whether they ran
   * @param noNewWorkAfter maximum time from the announcement of a drain to the last request that
   *     the draining target starts
   * @param drainWithin maximum time from the announcement of a drain until the draining target is
   *     idle
   * @param inForceWithin maximum time from the acceptance of a contract until it is in force
   *     everywhere
   */
  public record Limits(
      List<ServiceLimit> services,
      double unknownAtMost,
      Duration noNewWorkAfter,
      Duration drainWithin,
      Duration inForceWithin) {
    /** Copies the list, which makes the record immutable. */
    public Limits {
      services = List.copyOf(services);
    }
  }

  /** Duration of the experiment, which is that of its longest load. */
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
