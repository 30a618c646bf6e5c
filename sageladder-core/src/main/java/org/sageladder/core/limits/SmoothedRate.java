package org.sageladder.core.limits;

import java.time.Duration;

/**
 * Events a second, smoothed over the last few seconds; quick enough to follow a surge.
 *
 * <p>Not safe for use by several threads.
 */
final class SmoothedRate {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final double SMOOTHING = 0.6;
  private static final int MOST_ROLLS = 20;

  private long secondStart;
  private double inSecond;
  private double perSecond;

  SmoothedRate(long nowNanos) {
    this.secondStart = nowNanos;
  }

  void add(double events, long nowNanos) {
    rollTo(nowNanos);
    inSecond += events;
  }

  double perSecond(long nowNanos) {
    rollTo(nowNanos);
    return perSecond;
  }

  private void rollTo(long nowNanos) {
    long seconds = (nowNanos - secondStart) / SECOND;
    for (long i = 0; i < Math.min(seconds, MOST_ROLLS); i++) {
      perSecond += SMOOTHING * (inSecond - perSecond);
      inSecond = 0;
    }
    secondStart += Math.max(0, seconds) * SECOND;
  }
}
