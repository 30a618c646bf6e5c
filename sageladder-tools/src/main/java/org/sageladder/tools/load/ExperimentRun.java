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

/** Runs the variants of one experiment, one after the other. */
final class ExperimentRun {
  private static final Duration READY = Duration.ofSeconds(30);
  private static final Duration LEAD = Duration.ofMillis(300);
  private static final long PROGRESS_MILLIS = 2_000;

  private final Experiment experiment;
  private final SystemUnderTest.Provider provider;
  private final String tag;
  private final Consumer<String> progress;

  private ExperimentRun(
      Experiment experiment,
      SystemUnderTest.Provider provider,
      String tag,
      Consumer<String> progress) {
    this.experiment = experiment;
    this.provider = provider;
    this.tag = tag;
    this.progress = progress;
  }

  /**
   * A run of {@code experiment}.
   *
   * @param tag part of each request's id, which tells it from those of earlier runs
   */
  static ExperimentRun of(
      Experiment experiment,
      SystemUnderTest.Provider provider,
      String tag,
      Consumer<String> progress) {
    return new ExperimentRun(experiment, provider, tag, progress);
  }

  /** The system itself, running {@code inForce}; the checks go by the experiment's contract. */
  VariantResult system(Contract inForce) throws IOException, InterruptedException {
    return run(
        "sageladder",
        inForce,
        system -> SystemSender.of(inForce.customer(), system.callerAddresses()));
  }

  /** The system with the entry VMs of another build, whose jars are in {@code directory}. */
  VariantResult otherBuild(Path directory) throws IOException, InterruptedException {
    return run(
        "other build",
        experiment.contract(),
        provider.ofBuild(directory),
        system -> SystemSender.of(experiment.contract().customer(), system.callerAddresses()));
  }

  /** Callers who pick a target evenly at random. */
  VariantResult random() throws IOException, InterruptedException {
    return run(
        "random choice",
        experiment.contract(),
        system -> DirectSender.random(experiment.contract(), system.targets()));
  }

  /** Callers who pick a target of their own region at random. */
  VariantResult localOnly() throws IOException, InterruptedException {
    return run(
        "local only",
        experiment.contract(),
        system -> DirectSender.localOnly(experiment.contract(), system.targets()));
  }

  private VariantResult run(
      String name, Contract inForce, Function<SystemUnderTest, Sender> senders)
      throws IOException, InterruptedException {
    return run(name, inForce, provider, senders);
  }

  private VariantResult run(
      String name,
      Contract inForce,
      SystemUnderTest.Provider chosen,
      Function<SystemUnderTest, Sender> senders)
      throws IOException, InterruptedException {
    List<Arrival> arrivals = Arrivals.of(experiment, name.replace(' ', '-') + tag);
    progress.accept(name + ": starting the system for " + arrivals.size() + " requests");
    try (SystemUnderTest system = chosen.start(inForce, experiment.entriesPerZone(), READY);
        Sender sender = senders.apply(system)) {
      long start = System.nanoTime() + LEAD.toNanos();
      OpenLoop loop = new OpenLoop();
      List<Ending> endings;
      List<FaultSchedule.Injected> injected;
      Samples samples;
      List<ProcessEvents> events;
      try (EventWatch watch = EventWatch.start(system.operators());
          Sampler sampler = Sampler.start(system.targets(), start);
          FaultSchedule faults =
              FaultSchedule.start(experiment.faults(), system, start, progress)) {
        Thread ticker = new Thread(() -> tick(name, loop, arrivals.size()), "progress");
        ticker.setDaemon(true);
        ticker.start();
        endings = loop.run(arrivals, sender, start);
        ticker.interrupt();
        faults.join();
        Thread.sleep(2 * Sampler.STEP.toMillis());
        injected = faults.injected();
        samples = sampler.samples();
        events = watch.events();
      }
      return new VariantResult(
          name,
          experiment,
          endings,
          samples,
          injected,
          executions(system.targets()),
          events,
          loop.latestStartNanos());
    }
  }

  private void tick(String name, OpenLoop loop, int all) {
    try {
      while (true) {
        Thread.sleep(PROGRESS_MILLIS);
        progress.accept(
            name + ": " + loop.sent() + " of " + all + " sent, " + loop.ended() + " ended");
      }
    } catch (InterruptedException e) {
      progress.accept(name + ": " + loop.ended() + " of " + all + " ended");
    }
  }

  private static Map<String, Integer> executions(List<TargetView> targets) throws IOException {
    Map<String, Integer> sums = new HashMap<>();
    for (TargetView target : new ArrayList<>(targets)) {
      target.executions().forEach((key, count) -> sums.merge(key, count, Integer::sum));
    }
    return sums;
  }
}
