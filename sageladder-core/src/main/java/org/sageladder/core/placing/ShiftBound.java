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
 * and {@link RegionPrice}.
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
public final class ShiftBound {
  /** Span over which operators count, in milliseconds. */
  private static final long SPAN_MILLIS = 2_000;

  /** Part of the bound that is used: requests run some time after they were placed. */
  private static final double USED = 0.6;

  /** Step where single requests take up all of the bound: shares must not stand still for good. */
  private static final double LEAST_STEP = 0.02;

  /** Requests that may move ahead of the rate. */
  private static final double DEPTH = 1.5;

  /** Fewest requests that a span is taken to have: below, shares are chance. */
  private static final double LEAST_REQUESTS = 8;

  private double most;
  private double share;
  private double tokens;
  private double perSpan;
  private long firstAt = -1;
  private long lastAt;
  private long freeUntil;
  private long requests;

  private ShiftBound(double most) {
    this.most = most;
  }

  /**
   * A bound with nothing placed yet.
   *
   * @param most part of a region's requests that may change region within a span; 1 for no bound
   */
  public static ShiftBound of(double most) {
    return new ShiftBound(most);
  }

  /** Puts a newer bound in force. */
  public void bound(double newMost) {
    most = newMost;
  }

  /**
   * Lifts the bound until {@code until}: the room of regions has changed by more than traffic, and
   * requests that were kept where it shrank would be lost.
   */
  public void liftUntil(long until) {
    freeUntil = Math.max(freeUntil, until);
  }

  /** Time in which all requests of a region may change region, in milliseconds; 0 for no bound. */
  public double settleMillis() {
    return most >= 1 ? 0 : SPAN_MILLIS / most;
  }

  /** True where the next request may run in another region than it would if nothing waited. */
  public boolean permits(long now) {
    boolean first = firstAt < 0 || now - firstAt < SPAN_MILLIS;
    return most >= 1 || first || now < freeUntil || tokens + share + step() >= 1;
  }

  private double step() {
    double left = USED * most - (DEPTH - 1) / Math.max(LEAST_REQUESTS, perSpan);
    return Math.max(LEAST_STEP, left);
  }

  /** Counts a request; {@code moved} where it runs in another region than if nothing waited. */
  public void placed(boolean moved, long now) {
    if (firstAt < 0) {
      firstAt = now;
      lastAt = now;
    }
    countRate(now);
    requests++;
    double one = moved ? 1 : 0;
    tokens = Math.max(-DEPTH, Math.min(DEPTH, tokens + share + step() - one));
    double part = Math.max(1.0 / requests, 1 / Math.max(LEAST_REQUESTS, perSpan));
    share += part * (one - share);
  }

  /** Requests in a span, fading: a VM's traffic may come and go. */
  private void countRate(long now) {
    perSpan = perSpan * Math.exp(-(double) (now - lastAt) / SPAN_MILLIS) + 1;
    lastAt = now;
  }
}
