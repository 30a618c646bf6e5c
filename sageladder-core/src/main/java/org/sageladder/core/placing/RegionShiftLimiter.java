package org.sageladder.core.placing;

/**
 * Bounds how fast the share of this entry VM's requests may grow that crowded targets move to
 * another region.
 *
 * <p>Guards against a rush: where targets of a region fill up, all entry VMs find so within the
 * same second and send elsewhere together; the other region is crowded by work that nobody
 * announced, and back it goes. Operators allow a part of a region's requests to change region
 * within a span. Each VM keeps the bound for its own requests, so that it holds for any sum of them
 * without talk: as many may move as in the last span plus a step, by a token bucket whose rate that
 * is. Where requests run when nothing waits is not bounded here: a VM's shares waver by the objects
 * that it happens to be asked for. What all VMs change together there is slowed by {@link RunTimes}
 * and {@link CrossRegionCostFactor}.
 *
 * <p>Requests come one by one: a bucket that lets one through early overshoots by one request a
 * span. Where a VM has few requests this takes up most of the bound, and the step is what it
 * leaves. The first span of a VM's requests is free: nothing moves where nothing ran before.
 *
 * <pre>{@code
 * ShiftBound bound = ShiftBound.of(0.15);
 * boolean moved = bound.permits(now) && isBetterElsewhere;
 * bound.placed(moved, now);
 * }</pre>
 */
public final class RegionShiftLimiter {
  /** Span over which operators count, in milliseconds. */
  private static final long SPAN_MILLIS = 2_000;

  /** Part of the bound that is used: requests run some time after they were placed. */
  private static final double USED_FRACTION = 0.6;

  /** Step where single requests take up all of the bound: shares must not stand still for good. */
  private static final double MIN_STEP = 0.02;

  /** Requests that may move ahead of the rate. */
  private static final double BUCKET_DEPTH = 1.5;

  /** Fewest requests that a span is taken to have: below, shares are chance. */
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
   * A bound with nothing placed yet.
   *
   * @param maxShiftFraction part of a region's requests that may change region within a span; 1 for
   *     no bound
   */
  public static RegionShiftLimiter of(double maxShiftFraction) {
    return new RegionShiftLimiter(maxShiftFraction);
  }

  /** Puts a newer bound in force. */
  public void updateLimit(double newMaxShiftFraction) {
    maxShiftFraction = newMaxShiftFraction;
  }

  /**
   * Lifts the bound until {@code until}: the room of regions has changed by more than traffic, and
   * requests that were kept where it shrank would be lost.
   */
  public void suspendUntil(long until) {
    suspendedUntilMillis = Math.max(suspendedUntilMillis, until);
  }

  /** Time in which all requests of a region may change region, in milliseconds; 0 for no bound. */
  public double settleMillis() {
    return maxShiftFraction >= 1 ? 0 : SPAN_MILLIS / maxShiftFraction;
  }

  /** True where the next request may run in another region than it would if nothing waited. */
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

  /** Counts a request; {@code moved} where it runs in another region than if nothing waited. */
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

  /** Requests in a span, fading: a VM's traffic may come and go. */
  private void updateRequestRate(long now) {
    requestsPerSpan =
        requestsPerSpan * Math.exp(-(double) (now - lastRequestAtMillis) / SPAN_MILLIS) + 1;
    lastRequestAtMillis = now;
  }
}
