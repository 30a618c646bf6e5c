package org.sageladder.bench.drain;

import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.TargetServer;

/**
 * Drains targets one at a time, announced either by the platform's list or by the targets
 * themselves.
 */
final class TargetStops {
  private static final long IDLE_NANOS = 400_000_000L;
  private static final long MAX_STOP_NANOS = 10_000_000_000L;

  private final TestBed bed;
  private final Histogram millisToLastNewRequest = new Histogram(60_000, 3);
  private final Histogram millisToIdle = new Histogram(60_000, 3);
  private int lateCount;
  private int stopCount;

  TargetStops(TestBed bed) {
    this.bed = bed;
  }

  /**
   * Drains one target, which the platform's list shows as draining if {@code isListed}, else only
   * the target itself signals it.
   */
  void stopTarget(int number, boolean isListed) throws InterruptedException {
    TargetServer target = bed.targets().get(number);
    long incarnation = target.incarnation();
    long startNanos = System.nanoTime();
    if (isListed) {
      bed.listTarget(number, incarnation, true);
    } else {
      target.drain();
    }
    long lastStartNanos = startNanos;
    long lastBusyNanos = startNanos;
    long started = target.executions().total();
    while (System.nanoTime() - lastBusyNanos < IDLE_NANOS
        && System.nanoTime() - startNanos < MAX_STOP_NANOS) {
      Thread.sleep(1);
      long nowNanos = System.nanoTime();
      if (target.executions().total() != started) {
        started = target.executions().total();
        lastStartNanos = nowNanos;
      }
      if (target.busySlotCount() > 0) {
        lastBusyNanos = nowNanos;
      }
    }
    stopCount++;
    long lastStartMillis = (lastStartNanos - startNanos) / 1_000_000;
    millisToLastNewRequest.recordValue(lastStartMillis);
    millisToIdle.recordValue((lastBusyNanos - startNanos) / 1_000_000);
    lateCount += lastStartMillis > 3_000 ? 1 : 0;
    target.restart();
    bed.listTarget(number, target.incarnation(), false);
  }

  int stopCount() {
    return stopCount;
  }

  /** Stops for which the target started a new request more than 3 s after the start of draining. */
  int lateCount() {
    return lateCount;
  }

  void print(String name) {
    System.out.println(
        name
            + ": "
            + stopCount
            + " stops; sign to last new work p50 "
            + millisToLastNewRequest.getValueAtPercentile(50)
            + " ms, max "
            + millisToLastNewRequest.getMaxValue()
            + " ms; sign to idle p50 "
            + millisToIdle.getValueAtPercentile(50)
            + " ms, p99 "
            + millisToIdle.getValueAtPercentile(99)
            + " ms; later than 3 s: "
            + lateCount);
  }
}
