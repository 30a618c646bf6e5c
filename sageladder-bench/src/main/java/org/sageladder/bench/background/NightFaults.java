package org.sageladder.bench.background;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.store.StoreFaults;

/** One failure after the other, in a fixed order, until told to end. */
final class NightFaults {
  private static final long BETWEEN_MILLIS = 1_500;
  private static final long DOWN_MILLIS = 1_000;
  private static final long LONGEST_STOP_SECONDS = 90;

  private final TestBed bed;
  private final Map<String, Integer> done = new TreeMap<>();
  private final Thread thread = new Thread(this::run, "night-faults");
  private volatile boolean over;

  private NightFaults(TestBed bed) {
    this.bed = bed;
  }

  static NightFaults start(TestBed bed) {
    NightFaults faults = new NightFaults(bed);
    faults.thread.start();
    return faults;
  }

  /** Waits until what has begun is undone again. */
  void end() throws InterruptedException {
    over = true;
    thread.join();
  }

  /** How often each failure was caused. */
  synchronized Map<String, Integer> done() {
    return new TreeMap<>(done);
  }

  private void run() {
    try {
      for (int round = 0; !over; round++) {
        Thread.sleep(BETWEEN_MILLIS);
        cause(round);
      }
    } catch (IOException e) {
      throw new IllegalStateException("an entry VM did not come back", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void cause(int round) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(round % bed.entries().size());
    switch (round % 5) {
      case 0 -> {
        count("target crashed");
        bed.targets().get(round % bed.targets().size()).crash();
      }
      case 1 -> {
        count("entry VM killed");
        entry.kill();
        entry.restart();
      }
      case 2 -> {
        count("store down");
        bed.store().setFaults(StoreFaults.none().withDown(true));
        Thread.sleep(DOWN_MILLIS);
        bed.store().setFaults(StoreFaults.none());
      }
      case 3 -> {
        count("entry VM paused");
        entry.pause();
        Thread.sleep(DOWN_MILLIS);
        entry.resume();
      }
      default -> {
        count("entry VM stopped");
        bed.list(entry, true);
        entry.terminate();
        if (entry.awaitEnd(LONGEST_STOP_SECONDS) < 0) {
          entry.kill();
        }
        entry.restart();
        bed.list(entry, false);
      }
    }
  }

  private synchronized void count(String fault) {
    done.merge(fault, 1, Integer::sum);
  }
}
