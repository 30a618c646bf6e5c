package org.sageladder.core.quota;

import org.sageladder.core.routing.Quota;

/**
 * How exactly the contract wants quotas kept.
 *
 * @param windowMillis span over which requests that ran are counted
 * @param over share by which the count of a span may lie over the quota
 * @param slack requests by which it may lie over it besides
 */
public record QuotaBounds(long windowMillis, double over, double slack) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Refuses bounds that cannot be counted by. */
  public QuotaBounds {
    if (windowMillis <= 0 || over < 0 || slack < 0) {
      throw new IllegalArgumentException(
          "quota bounds are "
              + windowMillis
              + " ms, "
              + over
              + ", "
              + slack
              + "; accepted is a window above 0, and 0 or more");
    }
  }

  /** Bounds of a contract that does not state them: five seconds, exactly. */
  public static QuotaBounds exact() {
    return new QuotaBounds(5_000, 0, 0);
  }

  /** True where nothing may lie over a quota, so that no request may run before it is counted. */
  boolean areExact() {
    return over == 0 && slack == 0;
  }

  /** Requests that {@code quota} allows in a window. */
  double allowed(Quota quota) {
    return quota.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + quota.capacity();
  }

  /** Requests in a window that are let run where all of them are counted before. */
  double served(Quota quota) {
    return (allowed(quota) + most(quota)) / 2;
  }

  /** Requests in a window beyond which the contract is broken. */
  double most(Quota quota) {
    return allowed(quota) * (1 + over) + slack;
  }
}
