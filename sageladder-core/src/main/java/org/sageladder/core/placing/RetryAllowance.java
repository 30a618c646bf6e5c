package org.sageladder.core.placing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This entry VM's part of the second sends that a service bears in any span of a window's length.
 *
 * <p>All entry VMs together may send {@code ratio} of the requests plus a fixed extra. The ratio's
 * part adds up by itself where each VM keeps it for its own requests; of the extra each VM has an
 * equal part, counted over as many VMs as were ever seen at once, since a VM that has left may have
 * spent its part within the window. A refused second send also counts: it has arrived.
 */
public final class RetryAllowance {
  /**
   * Part of the bound that is used; the rest covers sends and requests on either side of a span.
   */
  private static final double USED = 0.75;

  private double ratio;
  private double extra;
  private long windowMillis;
  private int machines = 1;
  private final Map<String, Spent> services = new HashMap<>();

  private static final class Spent {
    final Deque<Long> requests = new ArrayDeque<>();
    final Deque<Long> repeats = new ArrayDeque<>();
  }

  private RetryAllowance(double ratio, double extra, long windowMillis) {
    this.ratio = ratio;
    this.extra = extra;
    this.windowMillis = windowMillis;
  }

  /** An allowance of {@code ratio} of the requests of a window plus a part of {@code extra}. */
  public static RetryAllowance of(double ratio, double extra, long windowMillis) {
    return new RetryAllowance(ratio, extra, windowMillis);
  }

  /** Puts newer bounds in force, also for what was counted before. */
  public void bounds(double newRatio, double newExtra, long newWindowMillis) {
    ratio = newRatio;
    extra = newExtra;
    windowMillis = newWindowMillis;
  }

  /** Notes how many entry VMs share the extra; a lower number than before has no effect. */
  public void machines(int seen) {
    machines = Math.max(machines, seen);
  }

  /** Counts a caller's request for {@code service}. */
  public void request(String service, long now) {
    Spent spent = spent(service);
    spent.requests.addLast(now);
    forget(spent.requests, now);
  }

  /** Spends one second send; false where none is left, and the request ends with what it has. */
  public boolean take(String service, long now) {
    Spent spent = spent(service);
    forget(spent.requests, now);
    forget(spent.repeats, now);
    double most = USED * (ratio * spent.requests.size() + extra / machines);
    if (spent.repeats.size() + 1 > most) {
      return false;
    }
    spent.repeats.addLast(now);
    return true;
  }

  private Spent spent(String service) {
    return services.computeIfAbsent(service, name -> new Spent());
  }

  private void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() >= windowMillis) {
      times.removeFirst();
    }
  }
}
