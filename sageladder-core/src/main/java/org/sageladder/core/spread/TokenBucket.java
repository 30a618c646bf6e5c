package org.sageladder.core.spread;

import org.sageladder.core.time.TimeSource;

/**
 * A budget that refills at a steady rate: bytes a second of control traffic, calls a second to the
 * store.
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {
  private final TimeSource time;
  private final double perSecond;
  private final double burst;
  private double tokens;
  private long filledAt;

  private TokenBucket(TimeSource time, double perSecond, double burst) {
    this.time = time;
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.filledAt = time.nanos();
  }

  /** A full bucket of {@code burst} tokens that gains {@code perSecond}. */
  public static TokenBucket of(TimeSource time, double perSecond, double burst) {
    if (!(perSecond > 0) || !(burst > 0)) {
      throw new IllegalArgumentException(
          "a budget of " + perSecond + " a second with a burst of " + burst + " lets nothing pass");
    }
    return new TokenBucket(time, perSecond, burst);
  }

  /**
   * Takes {@code amount} if anything is left; the bucket may go below zero, so that one large
   * message passes and is paid for afterwards.
   */
  public boolean tryTake(double amount) {
    refill();
    if (tokens <= 0) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Takes {@code amount} even where nothing is left, for traffic that must not wait. */
  public void take(double amount) {
    refill();
    tokens -= amount;
  }

  /** Tokens left now; negative while an overdraft is paid back. */
  public double left() {
    refill();
    return tokens;
  }

  private void refill() {
    long now = time.nanos();
    tokens = Math.min(burst, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
  }
}
