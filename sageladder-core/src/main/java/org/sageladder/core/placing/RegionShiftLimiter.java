package org.sageladder.core.placing;

/**
 * Limits how fast the fraction of this entry VM's requests may grow that is sent to another region
 * because targets are overloaded.
 *
 * <p>Guards against a thundering herd: when the targets of a region fill up, all entry VMs detect
 * it within the same second and send their requests to another region together. That region is
 * overloaded without warning, and the requests move back. Operators allow a certain fraction of a
 * region's requests to change region within a span. Each VM keeps the limit for its own requests,
 * so that it holds for the sum over any VMs without communication: as many requests may move as in
 * the last span plus a step, by a token bucket with that rate. The region in which requests would
 * run with empty queues is not limited here: a single VM's fractions vary by chance with the
 * objects that are requested from it. Changes of that region that all VMs make together are slowed
 * by {@link RunTimes} and {@link CrossRegionCostFactor}.
 *
 * <p>Requests are indivisible: a bucket that lets one through early exceeds the limit by one
 * request per span. For a VM with few requests this takes up most of the limit, and the step is
 * what remains of it. The first span of a VM's requests is not limited, since nothing can move
 * before anything has run.
 *
 * <pre>{@code
 * RegionShiftLimiter limiter = RegionShiftLimiter.of(0.15);
 * boolean isShifted = limiter.permitsShift(now) && isCheaperInOtherRegion;
 * limiter.recordPlaced(isShifted, now);
 * }</pre>
 */
public final class RegionShiftLimiter {
  /** Span in which operators count requests that change region, in milliseconds. */
  private static final long SPAN_MILLIS = 2_000;

  /** Fraction of the limit that is used: requests run some time after they were placed. */
  private static final double USED_FRACTION = 0.6;

  /**
   * Step for a VM whose single requests take up the whole limit: without it the fraction could
   * never change.
   */
  private static final double MIN_STEP = 0.02;

  /** Capacity of the token bucket: requests that may move ahead of the rate. */
  private static final double BUCKET_DEPTH = 1.5;

  /** Minimum number of requests assumed for a span: with fewer, the fraction is mostly chance. */
  private static final double MIN_REQUESTS_PER_SPAN = 8;

  private double maxShiftFraction;
  private double shiftedShare;
  private double tokens;
  private double requestsPerSpan;
  private long firstRequestAtMillis = -1;
  private long lastRequestAtMillis;
  private long suspendedUntilMillis;
  private long requestCount;

  private RegionShiftLimiter(double maxShiftFraction) {
    this.maxShiftFraction = maxShiftFraction;
  }

  /**
   * Creates a limiter with nothing placed yet.
   *
   * @param maxShiftFraction fraction of a region's requests that may change region within a span; 1
   *     for no limit
   */
  public static RegionShiftLimiter of(double maxShiftFraction) {
    return new RegionShiftLimiter(maxShiftFraction);
  }

  /** Replaces the limit. */
  public void updateLimit(double newMaxShiftFraction) {
    maxShiftFraction = newMaxShiftFraction;
  }

  /**
   * Suspends the limit until {@code until}. Called when the capacity of regions has changed
   * independently of traffic: requests kept in a region that lost capacity would fail.
   */
  public void suspendUntil(long until) {
    suspendedUntilMillis = Math.max(suspendedUntilMillis, until);
  }

  /**
   * Returns the time in which all requests of a region may change region, in milliseconds; 0 for no
   * limit.
   */
  public double settleMillis() {
    return maxShiftFraction >= 1 ? 0 : SPAN_MILLIS / maxShiftFraction;
  }

  /** Returns true if the next request may run in another region than it would with empty queues. */
  public boolean permitsShift(long now) {
    boolean isFirstSpan = firstRequestAtMillis < 0 || now - firstRequestAtMillis < SPAN_MILLIS;
    return maxShiftFraction >= 1
        || isFirstSpan
        || now < suspendedUntilMillis
        || tokens + shiftedShare + stepFraction() >= 1;
  }

  private double stepFraction() {
    double remaining =
        USED_FRACTION * maxShiftFraction
            - (BUCKET_DEPTH - 1) / Math.max(MIN_REQUESTS_PER_SPAN, requestsPerSpan);
    return Math.max(MIN_STEP, remaining);
  }

  /**
   * Records a request.
   *
   * @param isShifted true if it runs in another region than it would with empty queues
   */
  public void recordPlaced(boolean isShifted, long now) {
    if (firstRequestAtMillis < 0) {
      firstRequestAtMillis = now;
      lastRequestAtMillis = now;
    }
    updateRequestRate(now);
    requestCount++;
    double cost = isShifted ? 1 : 0;
    tokens =
        Math.max(
            -BUCKET_DEPTH, Math.min(BUCKET_DEPTH, tokens + shiftedShare + stepFraction() - cost));
    double weight =
        Math.max(1.0 / requestCount, 1 / Math.max(MIN_REQUESTS_PER_SPAN, requestsPerSpan));
    shiftedShare += weight * (cost - shiftedShare);
  }

  /**
   * Updates the requests per span, with exponential decay, since a VM's traffic may start and stop.
   */
  private void updateRequestRate(long now) {
    requestsPerSpan =
        requestsPerSpan * Math.exp(-(double) (now - lastRequestAtMillis) / SPAN_MILLIS) + 1;
    lastRequestAtMillis = now;
  }
}
