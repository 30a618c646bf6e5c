package org.sageladder.standin.platform;

/**
 * Limits and time bounds of the platform's rules, as used in the users' deployments.
 *
 * @param discoveryMillis time without faults after which a VM counts as in contact with the
 *     platform
 * @param drainMillis time after which a draining target may receive no new requests
 * @param graceMillis time from SIGTERM to SIGKILL
 * @param configurationApplyMillis time after which all VMs must apply a new configuration
 * @param evacuateMillis time after which an evacuated zone may receive no requests
 * @param coldRateFactor factor by which arrivals may exceed a cold target's rate
 * @param coldExtraRequests requests a second allowed on top of that
 * @param retryRatio retries allowed per request within a window
 * @param extraRetries retries allowed on top of that
 * @param retryWindowMillis length of the retry window
 * @param maxShiftFraction fraction of a region's requests that may move to other regions from one
 *     interval to the next
 * @param quotaWindowMillis window over which a workspace's requests are counted
 * @param quotaExcessFraction fraction by which a window may exceed the quota
 * @param quotaExcessRequests requests by which a window may exceed the quota on top of that
 */
public record PlatformBounds(
    long discoveryMillis,
    long drainMillis,
    long graceMillis,
    long configurationApplyMillis,
    long evacuateMillis,
    double coldRateFactor,
    int coldExtraRequests,
    double retryRatio,
    int extraRetries,
    long retryWindowMillis,
    double maxShiftFraction,
    long quotaWindowMillis,
    double quotaExcessFraction,
    int quotaExcessRequests) {
  /** Returns the bounds of the smaller of the users' sites. */
  public static PlatformBounds standard() {
    return new PlatformBounds(
        3_000, 2_500, 6_000, 2_500, 5_000, 1.5, 5, 0.2, 64, 10_000, 0.15, 5_000, 0.1, 20);
  }
}
