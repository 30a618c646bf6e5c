package org.sageladder.core.overload;

/**
 * Load of the targets of one service, as estimated from their reports.
 *
 * @param utilization requests at the targets, from all entry VMs, per slot; above 1 requests wait
 * @param reportAgeMillis age of the newest report
 * @param reportCount number of reports that the estimate is based on
 */
public record ServiceLoad(double utilization, long reportAgeMillis, long reportCount) {
  /** Reports needed before a service counts as overloaded. */
  private static final int MIN_REPORTS = 10;

  /** Age at which reports no longer tell the load: targets' queues can drain within it. */
  public static final long MAX_REPORT_AGE_MILLIS = 2_000;

  /** The load of a service whose targets have reported nothing recently. */
  public static ServiceLoad unknown() {
    return new ServiceLoad(0, Long.MAX_VALUE, 0);
  }

  /** Returns true if recent reports are the basis of the estimate. */
  public boolean isMeasured() {
    return reportCount >= MIN_REPORTS && reportAgeMillis <= MAX_REPORT_AGE_MILLIS;
  }
}
