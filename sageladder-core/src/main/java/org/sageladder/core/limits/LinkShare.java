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
public final class LinkShare {
  private static final double SECOND = Duration.ofSeconds(1).toNanos();
  private static final double LEFT_BY_BACKGROUND = 0.5;
  private static final double LEFT_BY_INTERACTIVE = 0.2;

  private double perSecond;
  private double tokens;
  private long lastNanos;

  private LinkShare(double perSecond, long nowNanos) {
    this.perSecond = perSecond;
    this.tokens = size();
    this.lastNanos = nowNanos;
  }

  /** A share of {@code perSecond} requests, 0 or more, that has let nothing through yet. */
  public static LinkShare of(double perSecond, long nowNanos) {
    return new LinkShare(perSecond, nowNanos);
  }

  /** Puts another share in force; what was let through of late still counts. */
  public synchronized void perSecond(double newPerSecond, long nowNanos) {
    refill(nowNanos);
    perSecond = newPerSecond;
    tokens = Math.min(size(), tokens);
  }

  /** Lets one request through; false where its class must wait. */
  public synchronized boolean take(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    if (tokens < needed(requestClass)) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** How long until a request of that class would pass if nothing else did. */
  public synchronized Duration comeBack(RequestClass requestClass, long nowNanos) {
    refill(nowNanos);
    double missing = Math.max(0, needed(requestClass) - tokens);
    return Duration.ofNanos((long) (SECOND * missing / Math.max(perSecond, 1.0 / 60)));
  }

  private double needed(RequestClass requestClass) {
    if (perSecond <= 0) {
      return Double.MAX_VALUE;
    }
    double spare = size() - 1;
    return switch (requestClass) {
      case CRITICAL -> 1;
      case INTERACTIVE -> 1 + LEFT_BY_INTERACTIVE * spare;
      case BACKGROUND -> 1 + LEFT_BY_BACKGROUND * spare;
    };
  }

  /** A link of less than one request a second still lets one through now and then. */
  private double size() {
    return Math.max(1, perSecond);
  }

  private void refill(long nowNanos) {
    tokens = Math.min(size(), tokens + perSecond * (nowNanos - lastNanos) / SECOND);
    lastNanos = nowNanos;
  }
}
