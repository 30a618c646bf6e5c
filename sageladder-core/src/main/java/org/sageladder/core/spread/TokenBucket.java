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
  private final double refillPerSecond;
  private final double capacity;
  private double tokens;
  private long refilledNanos;

  private TokenBucket(TimeSource time, double refillPerSecond, double capacity) {
    this.time = time;
    this.refillPerSecond = refillPerSecond;
    this.capacity = capacity;
    this.tokens = capacity;
    this.refilledNanos = time.nanos();
  }

  /** A full bucket of {@code burst} tokens that gains {@code perSecond}. */
  public static TokenBucket of(TimeSource time, double refillPerSecond, double capacity) {
    if (!(refillPerSecond > 0) || !(capacity > 0)) {
      throw new IllegalArgumentException(
          "a budget of "
              + refillPerSecond
              + " a second with a burst of "
              + capacity
              + " lets nothing pass");
    }
    return new TokenBucket(time, refillPerSecond, capacity);
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
  public double available() {
    refill();
    return tokens;
  }

  private void refill() {
    long now = time.nanos();
    tokens = Math.min(capacity, tokens + refillPerSecond * (now - refilledNanos) / 1e9);
    refilledNanos = now;
  }
}
