package org.sageladder.bench.drain;

import org.HdrHistogram.Histogram;
import org.sageladder.bench.process.TestBed;
import org.sageladder.standin.target.TargetServer;

/** Stops targets one after another, as the platform or they themselves announce it. */
final class TargetStops {
  private static final long SETTLED_NANOS = 400_000_000L;
  private static final long LONGEST_NANOS = 10_000_000_000L;

  private final TestBed bed;
  private final Histogram toLastNewWork = new Histogram(60_000, 3);
  private final Histogram toIdle = new Histogram(60_000, 3);
  private int late;
  private int stops;

  TargetStops(TestBed bed) {
    this.bed = bed;
  }

  /** One stop; {@code announced} on the platform's list, else shown by the target alone. */
  void stop(int number, boolean announced) throws InterruptedException {
    TargetServer target = bed.targets().get(number);
    long incarnation = target.incarnation();
    long sign = System.nanoTime();
    if (announced) {
      bed.listTarget(number, incarnation, true);
    } else {
      target.drain();
    }
    long lastStart = sign;
    long lastBusy = sign;
    long started = target.executions().total();
    while (System.nanoTime() - lastBusy < SETTLED_NANOS
        && System.nanoTime() - sign < LONGEST_NANOS) {
      Thread.sleep(1);
      long now = System.nanoTime();
      if (target.executions().total() != started) {
        started = target.executions().total();
        lastStart = now;
      }
      if (target.busySlotCount() > 0) {
        lastBusy = now;
      }
    }
    stops++;
    long lastStartMillis = (lastStart - sign) / 1_000_000;
    toLastNewWork.recordValue(lastStartMillis);
    toIdle.recordValue((lastBusy - sign) / 1_000_000);
    late += lastStartMillis > 3_000 ? 1 : 0;
    target.restart();
    bed.listTarget(number, target.incarnation(), false);
  }

  int stops() {
    return stops;
  }

  /** Stops after which new work came later than 3 s after the first sign. */
  int late() {
    return late;
  }

  void print(String name) {
    System.out.println(
        name
            + ": "
            + stops
            + " stops; sign to last new work p50 "
            + toLastNewWork.getValueAtPercentile(50)
            + " ms, max "
            + toLastNewWork.getMaxValue()
            + " ms; sign to idle p50 "
            + toIdle.getValueAtPercentile(50)
            + " ms, p99 "
            + toIdle.getValueAtPercentile(99)
            + " ms; later than 3 s: "
            + late);
  }
}
