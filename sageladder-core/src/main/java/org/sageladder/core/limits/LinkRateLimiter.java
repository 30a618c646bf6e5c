package org.sageladder.core.limits;

import java.time.Duration;
import org.sageladder.core.contract.RequestClass;

/**
 * Rate limiter for requests that arrive over the link from another region: one entry VM's share of
 * the link's limit. It is enforced at the destination, whatever the senders' steering and the
 * clients' cached look-ups send.
 *
 * <p>A token bucket that holds one second's worth of requests. Background requests leave half of
 * the tokens untouched and interactive requests a fifth, so that critical requests still pass a
 * saturated link.
 *
 * <pre>{@code
 * LinkRateLimiter limiter = LinkRateLimiter.of(300.0 / 4, time.nanos());
 * boolean passes = limiter.tryAcquire(RequestClass.INTERACTIVE, time.nanos());
 * }</pre>
 *
 * <p>Thread-safe. No other lock is taken while its lock is held.
 */
public final class LinkRateLimiter {
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final double BACKGROUND_RESERVE_FRACTION = 0.5;
  private static final double INTERACTIVE_RESERVE_FRACTION = 0.2;

  private double ratePerSecond;
  private double tokens;
  private long lastRefillNanos;

  private LinkRateLimiter(double ratePerSecond, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.tokens = capacity();
    this.lastRefillNanos = nowNanos;
  }

  /**
   * Creates a limiter with a full bucket for {@code ratePerSecond} requests per second, 0 or more.
   */
  public static LinkRateLimiter of(double ratePerSecond, long nowNanos) {
    return new LinkRateLimiter(ratePerSecond, nowNanos);
  }

  /** Changes the rate; tokens used so far stay used. */
  public synchronized void updateRate(double newRatePerSecond, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    tokens = Math.min(capacity(), tokens);
  }

  /** Takes one token; false if too few are left for the request's class. */
  public synchronized boolean tryAcquire(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    if (tokens < requiredTokens(requestClass)) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Time until a request of that class would be admitted if no other were. */
  public synchronized Duration retryAfter(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    double missingTokens = Math.max(0, requiredTokens(requestClass) - tokens);
    return Duration.ofNanos(
        (long) (NANOS_PER_SECOND * missingTokens / Math.max(ratePerSecond, 1.0 / 60)));
  }

  private double requiredTokens(RequestClass requestClass) {
    if (ratePerSecond <= 0) {
      return Double.MAX_VALUE;
    }
    double reservableTokens = capacity() - 1;
    return switch (requestClass) {
      case CRITICAL -> 1;
      case INTERACTIVE -> 1 + INTERACTIVE_RESERVE_FRACTION * reservableTokens;
      case BACKGROUND -> 1 + BACKGROUND_RESERVE_FRACTION * reservableTokens;
    };
  }

  /**
   * At least one token, so that a link limited to less than one request per second still admits
   * some.
   */
  private double capacity() {
    return Math.max(1, ratePerSecond);
  }

  private void refill(long nowNanos) {
    tokens =
        Math.min(
            capacity(), tokens + ratePerSecond * (nowNanos - lastRefillNanos) / NANOS_PER_SECOND);
    lastRefillNanos = nowNanos;
  }
}
