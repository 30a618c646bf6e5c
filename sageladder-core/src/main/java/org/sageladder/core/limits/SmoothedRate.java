package org.sageladder.core.limits;

import java.time.Duration;

/**
 * Events per second, exponentially smoothed over the last few seconds; fast enough to follow a
 * surge.
 *
 * <p>Not thread-safe.
 */
final class SmoothedRate {
  private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final double SMOOTHING = 0.6;
  private static final int MAX_ELAPSED_SECONDS = 20;

  private long secondStartNanos;
  private double eventsThisSecond;
  private double perSecond;

  SmoothedRate(long nowNanos) {
    this.secondStartNanos = nowNanos;
  }

  void add(double events, long nowNanos) {
    advanceTo(nowNanos);
    eventsThisSecond += events;
  }

  double perSecond(long nowNanos) {
    advanceTo(nowNanos);
    return perSecond;
  }

  private void advanceTo(long nowNanos) {
    long seconds = (nowNanos - secondStartNanos) / NANOS_PER_SECOND;
    for (long i = 0; i < Math.min(seconds, MAX_ELAPSED_SECONDS); i++) {
      perSecond += SMOOTHING * (eventsThisSecond - perSecond);
      eventsThisSecond = 0;
    }
    secondStartNanos += Math.max(0, seconds) * NANOS_PER_SECOND;
  }
}
