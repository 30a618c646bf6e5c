package org.sageladder.core.limits;

import java.time.Duration;
import org.sageladder.core.contract.RequestClass;

/**
 * One entry VM's share of the limit of a link from another region, which it keeps at the
 * destination whatever steering and callers' caches send.
 *
 * <p>A bucket holds what the share lets through in a second. Background work leaves half of it
 * untouched and interactive work a fifth, so that critical requests still pass a link that others
 * keep full.
 *
 * <pre>{@code
 * LinkShare share = LinkShare.of(300.0 / 4, time.nanos());
 * boolean passes = share.take(RequestClass.INTERACTIVE, time.nanos());
 * }</pre>
 *
 * <p>Safe for use by several threads; its lock is the last in any order.
 */
public final class LinkRateLimiter {
  private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();
  private static final double BACKGROUND_RESERVE_FRACTION = 0.5;
  private static final double INTERACTIVE_RESERVE_FRACTION = 0.2;

  private double ratePerSecond;
  private double tokens;
  private long lastRefillNanos;

  private LinkRateLimiter(double perSecond, long nowNanos) {
    this.ratePerSecond = perSecond;
    this.tokens = capacity();
    this.lastRefillNanos = nowNanos;
  }

  /** A share of {@code perSecond} requests, 0 or more, that has let nothing through yet. */
  public static LinkRateLimiter of(double perSecond, long nowNanos) {
    return new LinkRateLimiter(perSecond, nowNanos);
  }

  /** Puts another share in force; what was let through of late still counts. */
  public synchronized void updateRate(double newPerSecond, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newPerSecond;
    tokens = Math.min(capacity(), tokens);
  }

  /** Lets one request through; false where its class must wait. */
  public synchronized boolean tryAcquire(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    if (tokens < requiredTokens(requestClass)) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** How long until a request of that class would pass if nothing else did. */
  public synchronized Duration retryAfter(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    double missing = Math.max(0, requiredTokens(requestClass) - tokens);
    return Duration.ofNanos(
        (long) (NANOS_PER_SECOND * missing / Math.max(ratePerSecond, 1.0 / 60)));
  }

  private double requiredTokens(RequestClass requestClass) {
    if (ratePerSecond <= 0) {
      return Double.MAX_VALUE;
    }
    double spare = capacity() - 1;
    return switch (requestClass) {
      case CRITICAL -> 1;
      case INTERACTIVE -> 1 + INTERACTIVE_RESERVE_FRACTION * spare;
      case BACKGROUND -> 1 + BACKGROUND_RESERVE_FRACTION * spare;
    };
  }

  /** A link of less than one request a second still lets one through now and then. */
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
