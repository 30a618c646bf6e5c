package org.sageladder.forward;

import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;

/**
 * Measures how late the event loop runs its timers, which is how late it reads requests and
 * responses as well.
 *
 * <p>A VM whose processor is short, or that was suspended, shows here first.
 */
final class LoopDelay {
  /** A delay from which on a line is logged. */
  private static final long LOGGED_MILLIS = 500;

  /** Time for which a delay counts as recent, at least. */
  private static final long RECENT_MILLIS = 10_000;

  private final EventSink log;
  private final Metrics metrics;
  private final long intervalMillis;
  private long lastRunMillis;
  private long periodStartMillis;
  private long maxInPeriodMillis;
  private long maxInLastPeriodMillis;

  /**
   * Creates a measurement that has seen no delay yet.
   *
   * @param intervalMillis time from one call of {@link #recordRun} to the next, if there is no
   *     delay
   */
  LoopDelay(EventSink log, Metrics metrics, long intervalMillis, long nowMillis) {
    this.log = log;
    this.metrics = metrics;
    this.intervalMillis = intervalMillis;
    this.lastRunMillis = nowMillis;
    this.periodStartMillis = nowMillis;
  }

  /** Records a run of the periodic task. */
  void recordRun(long nowMillis) {
    long delayMillis = Math.max(0, nowMillis - lastRunMillis - intervalMillis);
    lastRunMillis = nowMillis;
    if (nowMillis - periodStartMillis >= RECENT_MILLIS) {
      periodStartMillis = nowMillis;
      maxInLastPeriodMillis = maxInPeriodMillis;
      maxInPeriodMillis = 0;
    }
    maxInPeriodMillis = Math.max(maxInPeriodMillis, delayMillis);
    metrics.recordMillis("loop_delay", delayMillis);
    if (delayMillis >= LOGGED_MILLIS) {
      log.record(EventKind.LOOP_DELAYED, "", "", "loop", 0, delayMillis + " ms late");
    }
  }

  /** The longest delay of the last ten to twenty seconds, in milliseconds. */
  long recentMaxMillis() {
    return Math.max(maxInPeriodMillis, maxInLastPeriodMillis);
  }
}
