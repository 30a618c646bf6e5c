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
public final class ServiceRetryBudget {
  /**
   * Part of the bound that is used; the rest covers sends and requests on either side of a span.
   */
  private static final double USED_FRACTION = 0.75;

  private double retryRatio;
  private double extraRetries;
  private long windowMillis;
  private int entryVmCount = 1;
  private final Map<String, RetryWindow> windowsByService = new HashMap<>();

  private static final class RetryWindow {
    final Deque<Long> requestTimes = new ArrayDeque<>();
    final Deque<Long> retryTimes = new ArrayDeque<>();
  }

  private ServiceRetryBudget(double ratio, double extra, long windowMillis) {
    this.retryRatio = ratio;
    this.extraRetries = extra;
    this.windowMillis = windowMillis;
  }

  /** An allowance of {@code ratio} of the requests of a window plus a part of {@code extra}. */
  public static ServiceRetryBudget of(double retryRatio, double extraRetries, long windowMillis) {
    return new ServiceRetryBudget(retryRatio, extraRetries, windowMillis);
  }

  /** Puts newer bounds in force, also for what was counted before. */
  public void updateLimits(double newRetryRatio, double newExtraRetries, long newWindowMillis) {
    retryRatio = newRetryRatio;
    extraRetries = newExtraRetries;
    windowMillis = newWindowMillis;
  }

  /** Notes how many entry VMs share the extra; a lower number than before has no effect. */
  public void updateEntryVmCount(int liveCount) {
    entryVmCount = Math.max(entryVmCount, liveCount);
  }

  /** Counts a caller's request for {@code service}. */
  public void recordRequest(String service, long now) {
    RetryWindow window = window(service);
    window.requestTimes.addLast(now);
    removeExpired(window.requestTimes, now);
  }

  /** Spends one second send; false where none is left, and the request ends with what it has. */
  public boolean tryAcquire(String service, long now) {
    RetryWindow window = window(service);
    removeExpired(window.requestTimes, now);
    removeExpired(window.retryTimes, now);
    double maxRetries =
        USED_FRACTION * (retryRatio * window.requestTimes.size() + extraRetries / entryVmCount);
    if (window.retryTimes.size() + 1 > maxRetries) {
      return false;
    }
    window.retryTimes.addLast(now);
    return true;
  }

  private RetryWindow window(String service) {
    return windowsByService.computeIfAbsent(service, name -> new RetryWindow());
  }

  private void removeExpired(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peekFirst() >= windowMillis) {
      times.removeFirst();
    }
  }
}
