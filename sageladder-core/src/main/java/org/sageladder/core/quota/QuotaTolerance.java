package org.sageladder.core.quota;

import org.sageladder.core.routing.Quota;

/**
 * How exactly the contract wants quotas kept.
 *
 * @param windowMillis span over which requests that ran are counted
 * @param excessFraction share by which the count of a span may lie over the quota
 * @param excessRequests requests by which it may lie over it besides
 */
public record QuotaTolerance(long windowMillis, double excessFraction, double excessRequests) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Refuses bounds that cannot be counted by. */
  public QuotaTolerance {
    if (windowMillis <= 0 || excessFraction < 0 || excessRequests < 0) {
      throw new IllegalArgumentException(
          "quota bounds are "
              + windowMillis
              + " ms, "
              + excessFraction
              + ", "
              + excessRequests
              + "; accepted is a window above 0, and 0 or more");
    }
  }

  /** Bounds of a contract that does not state them: five seconds, exactly. */
  public static QuotaTolerance exact() {
    return new QuotaTolerance(5_000, 0, 0);
  }

  /** True where nothing may lie over a quota, so that no request may run before it is counted. */
  boolean isExact() {
    return excessFraction == 0 && excessRequests == 0;
  }

  /** Requests that {@code quota} allows in a window. */
  double allowedRequests(Quota quota) {
    return quota.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + quota.capacity();
  }

  /** Requests in a window that are let run where all of them are counted before. */
  double admissionCeiling(Quota quota) {
    return (allowedRequests(quota) + maxRequests(quota)) / 2;
  }

  /** Requests in a window beyond which the contract is broken. */
  double maxRequests(Quota quota) {
    return allowedRequests(quota) * (1 + excessFraction) + excessRequests;
  }
}
