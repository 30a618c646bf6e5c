package org.sageladder.bench.drain;

import java.io.IOException;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.TestBed;

/** Stops entry VMs by SIGTERM one after another and starts them again. */
final class EntryStops {
  private static final long LONGEST_SECONDS = 90;

  private final TestBed bed;
  private final Histogram toExit = new Histogram(120_000, 3);
  private int badExits;
  private int stops;

  EntryStops(TestBed bed) {
    this.bed = bed;
  }

  void stop(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    long sign = System.nanoTime();
    bed.list(entry, true);
    entry.terminate();
    int code = entry.awaitEnd(LONGEST_SECONDS);
    toExit.recordValue((System.nanoTime() - sign) / 1_000_000);
    stops++;
    if (code != 0) {
      badExits++;
      entry.kill();
    }
    entry.restart();
    bed.list(entry, false);
    Thread.sleep(1_500);
  }

  /** The baseline: the process is ended at once. */
  void kill(int number) throws IOException, InterruptedException {
    EntryProcess entry = bed.entries().get(number);
    bed.list(entry, true);
    entry.kill();
    stops++;
    entry.restart();
    bed.list(entry, false);
    Thread.sleep(1_500);
  }

  int stops() {
    return stops;
  }

  /** Stops that did not end with exit code 0. */
  int badExits() {
    return badExits;
  }

  void print() {
    System.out.println(
        "entry VMs: "
            + stops
            + " stops; SIGTERM to exit p50 "
            + toExit.getValueAtPercentile(50)
            + " ms, p99 "
            + toExit.getValueAtPercentile(99)
            + " ms; exit codes other than 0: "
            + badExits);
  }
}
