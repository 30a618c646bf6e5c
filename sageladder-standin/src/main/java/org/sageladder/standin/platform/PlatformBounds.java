package org.sageladder.standin.platform;

/**
 * Bounds of the platform's rules, as the users' deployments have them.
 *
 * @param discoveryMillis calm time after which a machine counts as in touch
 * @param drainMillis time after which nothing new may reach a leaving target
 * @param graceMillis time from SIGTERM to SIGKILL
 * @param configurationApplyMillis time after which a configuration is in force everywhere
 * @param evacuateMillis time after which an emptied zone gets nothing more
 * @param coldRateFactor factor on a cold target's rate
 * @param coldExtraRequests requests beyond that in a second
 * @param retryRatio second sends for each request of a window
 * @param extraRetries second sends besides
 * @param retryWindowMillis length of the window
 * @param maxShiftFraction part of a region's requests that may change region from one span to the
 *     next
 * @param quotaWindowMillis window in which a workspace's requests are counted
 * @param quotaExcessFraction share by which a window may lie over a quota
 * @param quotaExcessRequests requests by which it may lie over it besides
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
  /** The bounds of the smaller of the users' sites. */
  public static PlatformBounds standard() {
    return new PlatformBounds(
        3_000, 2_500, 6_000, 2_500, 5_000, 1.5, 5, 0.2, 64, 10_000, 0.15, 5_000, 0.1, 20);
  }
}
