package org.sageladder.bench.background;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.store.StoreFaults;

/** Injects one fault after another in a fixed order until it is stopped. */
final class PeriodicFaultInjector {
  private static final long INTERVAL_MILLIS = 1_500;
  private static final long FAULT_MILLIS = 1_000;
  private static final long MAX_STOP_SECONDS = 90;

  private final TestBed bed;
  private final Map<String, Integer> countsByFault = new TreeMap<>();
  private final Thread thread = new Thread(this::run, "night-faults");
  private volatile boolean isStopped;

  private PeriodicFaultInjector(TestBed bed) {
    this.bed = bed;
  }

  static PeriodicFaultInjector start(TestBed bed) {
    PeriodicFaultInjector injector = new PeriodicFaultInjector(bed);
    injector.thread.start();
    return injector;
  }

  /** Stops the injection and waits until the current fault is undone. */
  void stop() throws InterruptedException {
    isStopped = true;
    thread.join();
  }

  /** Number of injections of each fault. */
  synchronized Map<String, Integer> countsByFault() {
    return new TreeMap<>(countsByFault);
  }

  private void run() {
    try {
      for (int round = 0; !isStopped; round++) {
        Thread.sleep(INTERVAL_MILLIS);
        injectFault(round);
      }
    } catch (IOException e) {
      throw new IllegalStateException("an entry VM did not restart", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void injectFault(int round) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(round % bed.entries().size());
    switch (round % 5) {
      case 0 -> {
        countFault("target crashed");
        bed.targets().get(round % bed.targets().size()).crash();
      }
      case 1 -> {
        countFault("entry VM killed");
        entry.kill();
        entry.restart();
      }
      case 2 -> {
        countFault("store down");
        bed.store().setFaults(StoreFaults.none().withDown(true));
        Thread.sleep(FAULT_MILLIS);
        bed.store().setFaults(StoreFaults.none());
      }
      case 3 -> {
        countFault("entry VM paused");
        entry.pause();
        Thread.sleep(FAULT_MILLIS);
        entry.resume();
      }
      default -> {
        countFault("entry VM stopped");
        bed.listEntry(entry, true);
        entry.terminate();
        if (entry.awaitEnd(MAX_STOP_SECONDS) < 0) {
          entry.kill();
        }
        entry.restart();
        bed.listEntry(entry, false);
      }
    }
  }

  private synchronized void countFault(String fault) {
    countsByFault.merge(fault, 1, Integer::sum);
  }
}
