package org.sageladder.tools.load;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.timeline.ProcessEvents;

/** Runs the variants of one experiment sequentially. */
final class ExperimentRun {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration START_DELAY = Duration.ofMillis(300);
  private static final long PROGRESS_INTERVAL_MILLIS = 2_000;

  private final Experiment experiment;
  private final SystemUnderTest.Provider provider;
  private final String requestIdTag;
  private final Consumer<String> progress;

  private ExperimentRun(
      Experiment experiment,
      SystemUnderTest.Provider provider,
      String requestIdTag,
      Consumer<String> progress) {
    this.experiment = experiment;
    this.provider = provider;
    this.requestIdTag = requestIdTag;
    this.progress = progress;
  }

  /**
   * Creates a run of {@code experiment}.
   *
   * @param requestIdTag suffix that distinguishes the request ids of this run from those of earlier
   *     runs
   */
  static ExperimentRun of(
      Experiment experiment,
      SystemUnderTest.Provider provider,
      String requestIdTag,
      Consumer<String> progress) {
    return new ExperimentRun(experiment, provider, requestIdTag, progress);
  }

  /**
   * Runs the system with the contract {@code inForce}; the checks use the experiment's contract.
   */
  VariantResult runSystem(Contract inForce) throws IOException, InterruptedException {
    return run(
        "sageladder",
        inForce,
        system -> SystemSender.of(inForce.customer(), system.callerAddresses()));
  }

  /** Runs the system with the entry VMs of another build, whose jars are in {@code directory}. */
  VariantResult runOtherBuild(Path directory) throws IOException, InterruptedException {
    return run(
        "other build",
        experiment.contract(),
        provider.ofBuild(directory),
        system -> SystemSender.of(experiment.contract().customer(), system.callerAddresses()));
  }

  /** Runs the baseline in which callers pick a target uniformly at random. */
  VariantResult runRandomChoice() throws IOException, InterruptedException {
    return run(
        "random choice",
        experiment.contract(),
        system -> DirectSender.random(experiment.contract(), system.targets()));
  }

  /** Runs the baseline in which callers pick a target of their own region uniformly at random. */
  VariantResult runLocalOnly() throws IOException, InterruptedException {
    return run(
        "local only",
        experiment.contract(),
        system -> DirectSender.localOnly(experiment.contract(), system.targets()));
  }

  private VariantResult run(
      String variant, Contract inForce, Function<SystemUnderTest, Sender> senders)
      throws IOException, InterruptedException {
    return run(variant, inForce, provider, senders);
  }

  private VariantResult run(
      String variant,
      Contract inForce,
      SystemUnderTest.Provider selectedProvider,
      Function<SystemUnderTest, Sender> senders)
      throws IOException, InterruptedException {
    List<Arrival> arrivals = Arrivals.of(experiment, variant.replace(' ', '-') + requestIdTag);
    progress.accept(variant + ": starting the system for " + arrivals.size() + " requests");
    try (SystemUnderTest system =
            selectedProvider.start(inForce, experiment.entriesPerZone(), READY_TIMEOUT);
        Sender sender = senders.apply(system)) {
      long startNanos = System.nanoTime() + START_DELAY.toNanos();
      OpenLoop loop = new OpenLoop();
      List<RequestResult> results;
      List<FaultSchedule.InjectedFault> injected;
      Samples samples;
      List<ProcessEvents> events;
      try (EventCollector collector = EventCollector.start(system.operatorAddresses());
          Sampler sampler = Sampler.start(system.targets(), startNanos);
          FaultSchedule faults =
              FaultSchedule.start(experiment.faults(), system, startNanos, progress)) {
        Thread ticker =
            new Thread(() -> reportProgress(variant, loop, arrivals.size()), "progress");
        ticker.setDaemon(true);
        ticker.start();
        results = loop.run(arrivals, sender, startNanos);
        ticker.interrupt();
        faults.join();
        Thread.sleep(2 * Sampler.INTERVAL.toMillis());
        injected = faults.injected();
        samples = sampler.samples();
        events = collector.fetchEvents();
      }
      return new VariantResult(
          variant,
          experiment,
          results,
          samples,
          injected,
          sumExecutions(system.targets()),
          events,
          loop.maxStartLagNanos());
    }
  }

  private void reportProgress(String variant, OpenLoop loop, int totalCount) {
    try {
      while (true) {
        Thread.sleep(PROGRESS_INTERVAL_MILLIS);
        progress.accept(
            variant
                + ": "
                + loop.sentCount()
                + " of "
                + totalCount
                + " sent, "
                + loop.completedCount()
                + " ended");
      }
    } catch (InterruptedException e) {
      progress.accept(variant + ": " + loop.completedCount() + " of " + totalCount + " ended");
    }
  }

  private static Map<String, Integer> sumExecutions(List<TargetView> targets) throws IOException {
    Map<String, Integer> sums = new HashMap<>();
    for (TargetView target : new ArrayList<>(targets)) {
      target.executions().forEach((requestId, count) -> sums.merge(requestId, count, Integer::sum));
    }
    return sums;
  }
}
