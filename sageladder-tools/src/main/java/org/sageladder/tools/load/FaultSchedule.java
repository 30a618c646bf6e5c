package org.sageladder.tools.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sageladder.tools.load.Experiment.Fault;
import org.sageladder.tools.load.Experiment.FaultKind;

/** Injects an experiment's faults at their scheduled times on a dedicated thread. */
final class FaultSchedule implements AutoCloseable {
  private static final long IN_FORCE_POLL_INTERVAL_MILLIS = 20;
  private static final long MAX_IN_FORCE_WAIT_NANOS = 30_000_000_000L;

  private final List<Fault> faults;
  private final SystemUnderTest system;
  private final long startNanos;
  private final Consumer<String> progress;
  private final List<InjectedFault> injected = new ArrayList<>();
  private final Thread thread;

  /**
   * The record of an injected fault.
   *
   * @param atNanos time of the injection, relative to the start of the experiment
   * @param affected VM or component that the fault affected, or the reason why the injection failed
   * @param succeeded false if the system could not inject the fault
   * @param inForceDelayNanos time until a changed contract was in force everywhere; -1 if the fault
   *     is not a contract change or the contract was not in force within 30 s
   */
  record InjectedFault(
      Fault fault, long atNanos, String affected, boolean succeeded, long inForceDelayNanos) {}

  private FaultSchedule(
      List<Fault> faults, SystemUnderTest system, long startNanos, Consumer<String> progress) {
    this.faults = faults.stream().sorted(Comparator.comparing(Fault::at)).toList();
    this.system = system;
    this.startNanos = startNanos;
    this.progress = progress;
    this.thread = new Thread(this::run, "faults");
  }

  static FaultSchedule start(
      List<Fault> faults, SystemUnderTest system, long startNanos, Consumer<String> progress) {
    FaultSchedule schedule = new FaultSchedule(faults, system, startNanos, progress);
    schedule.thread.start();
    return schedule;
  }

  private void run() {
    try {
      for (Fault fault : faults) {
        long remainingNanos = startNanos + fault.at().toNanos() - System.nanoTime();
        if (remainingNanos > 0) {
          Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        }
        inject(fault);
      }
    } catch (InterruptedException e) {
      progress.accept("faults: interrupted before all were injected");
    }
  }

  private void inject(Fault fault) throws InterruptedException {
    InjectedFault result;
    try {
      Map<String, Long> revisionsBefore =
          fault.kind() == FaultKind.CHANGE_CONTRACT ? system.revisionsInForce() : Map.of();
      long startedNanos = System.nanoTime();
      String affected = system.inject(fault);
      long injectedNanos = startedNanos - startNanos;
      long inForceDelayNanos =
          fault.kind() == FaultKind.CHANGE_CONTRACT
              ? awaitInForce(revisionsBefore, startedNanos)
              : -1;
      result = new InjectedFault(fault, injectedNanos, affected, true, inForceDelayNanos);
    } catch (IOException e) {
      result =
          new InjectedFault(
              fault, System.nanoTime() - startNanos, "failed: " + e.getMessage(), false, -1);
    }
    synchronized (this) {
      injected.add(result);
    }
    progress.accept(
        "fault "
            + fault.kind()
            + " at "
            + result.atNanos() / 1_000_000
            + " ms: "
            + result.affected());
  }

  private long awaitInForce(Map<String, Long> revisionsBefore, long startedNanos)
      throws IOException, InterruptedException {
    long highest = revisionsBefore.values().stream().mapToLong(Long::longValue).max().orElse(0);
    while (System.nanoTime() - startedNanos < MAX_IN_FORCE_WAIT_NANOS) {
      Map<String, Long> revisions = system.revisionsInForce();
      long readNanos = System.nanoTime();
      if (!revisions.isEmpty()
          && revisions.values().stream().allMatch(revision -> revision > highest)) {
        return readNanos - startedNanos;
      }
      Thread.sleep(IN_FORCE_POLL_INTERVAL_MILLIS);
    }
    return -1;
  }

  /** The faults injected so far. */
  synchronized List<InjectedFault> injected() {
    return List.copyOf(injected);
  }

  /** Waits until all faults have been injected. */
  void join() throws InterruptedException {
    thread.join();
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
