package org.sageladder.core.spread;

import org.sageladder.core.time.TimeSource;

/**
 * A token bucket, used for bytes per second of control traffic and calls per second to the store.
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

  /** Returns a full bucket of {@code capacity} tokens that gains {@code refillPerSecond}. */
  public static TokenBucket of(TimeSource time, double refillPerSecond, double capacity) {
    if (!(refillPerSecond > 0) || !(capacity > 0)) {
      throw new IllegalArgumentException(
          "refill rate "
              + refillPerSecond
              + " per second and capacity "
              + capacity
              + " must both be positive");
    }
    return new TokenBucket(time, refillPerSecond, capacity);
  }

  /**
   * Takes {@code amount} if any tokens are available. The balance may become negative, so that one
   * large message passes and is paid for afterwards.
   */
  public boolean tryTake(double amount) {
    refill();
    if (tokens <= 0) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Takes {@code amount} even if no tokens are available, for traffic that must not wait. */
  public void take(double amount) {
    refill();
    tokens -= amount;
  }

  /** Tokens available now; negative until an overdraft is repaid. */
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
