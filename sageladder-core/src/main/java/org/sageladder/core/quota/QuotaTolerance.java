package org.sageladder.core.quota;

import org.sageladder.core.routing.Quota;

/**
 * How far the contract allows the requests of a workspace to exceed its quota.
 *
 * @param windowMillis length of the window over which requests are counted
 * @param excessFraction fraction by which the count of a window may exceed the quota
 * @param excessRequests requests by which it may exceed the quota in addition
 */
public record QuotaTolerance(long windowMillis, double excessFraction, double excessRequests) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Fraction of the quota that all VMs together may use before the coordinator knows. */
  private static final double UNREPORTED_FRACTION = 0.5;

  /** Rejects invalid values. */
  public QuotaTolerance {
    if (windowMillis <= 0 || excessFraction < 0 || excessRequests < 0) {
      throw new IllegalArgumentException(
          "quota tolerance is "
              + windowMillis
              + " ms, "
              + excessFraction
              + ", "
              + excessRequests
              + "; the window must be above 0 and the excess values 0 or more");
    }
  }

  /** Tolerance of a contract that states none: a window of five seconds and no excess. */
  public static QuotaTolerance exact() {
    return new QuotaTolerance(5_000, 0, 0);
  }

  /** True if no excess is allowed, so that each request must be counted before it may run. */
  boolean isExact() {
    return excessFraction == 0 && excessRequests == 0;
  }

  /** Requests that {@code quota} allows in a window. */
  double allowedRequests(Quota quota) {
    return quota.ratePerSecond() * windowMillis / MILLIS_PER_SECOND + quota.capacity();
  }

  /** Requests per window that may run if all of them are counted before they run. */
  double admissionCeiling(Quota quota) {
    return (allowedRequests(quota) + maxRequests(quota)) / 2;
  }

  /**
   * Requests that each of {@code vmCount} VMs may have admitted without having reported them, so
   * that all VMs together use at most the tolerance above the admission ceiling; at least one, or a
   * VM that serves few requests of the workspace would delay each of them.
   */
  int maxUnreportedPerVm(Quota quota, int vmCount) {
    double uncounted = maxRequests(quota) - admissionCeiling(quota);
    return Math.max(1, (int) (uncounted / Math.max(1, vmCount)));
  }

  /**
   * Requests per window that each of {@code vmCount} VMs may admit unreported while the quota is
   * far from used up; all together use part of the quota, however late their reports are.
   */
  int unreportedShare(Quota quota, int vmCount) {
    return (int) (UNREPORTED_FRACTION * allowedRequests(quota) / Math.max(1, vmCount));
  }

  /** Requests per window above which the contract is violated. */
  double maxRequests(Quota quota) {
    return allowedRequests(quota) * (1 + excessFraction) + excessRequests;
  }
}
