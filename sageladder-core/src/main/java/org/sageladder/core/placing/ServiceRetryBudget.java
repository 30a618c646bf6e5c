package org.sageladder.core.placing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This entry VM's share of the retries that a service can handle within a sliding window.
 *
 * <p>All entry VMs together may retry {@code retryRatio} of the requests plus a fixed number of
 * extra retries. The ratio holds overall if each VM keeps it for its own requests. The extra
 * retries are divided equally among the VMs, by the highest number of VMs ever seen at once, since
 * a VM that has left may have used its share within the window. A refused retry counts too: it has
 * reached the service.
 */
public final class ServiceRetryBudget {
  /**
   * Fraction of the limit that is used; the rest covers retries and requests that fall on different
   * sides of a window boundary.
   */
  private static final double USED_FRACTION = 0.75;

  private static final double TENTHS = 10;

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

  /**
   * Creates a budget of {@code retryRatio} of the requests of a window plus a share of {@code
   * extraRetries}.
   */
  public static ServiceRetryBudget of(double retryRatio, double extraRetries, long windowMillis) {
    return new ServiceRetryBudget(retryRatio, extraRetries, windowMillis);
  }

  /** Replaces the limits, also for requests counted before. */
  public void updateLimits(double newRetryRatio, double newExtraRetries, long newWindowMillis) {
    retryRatio = newRetryRatio;
    extraRetries = newExtraRetries;
    windowMillis = newWindowMillis;
  }

  /**
   * Updates the number of entry VMs that share the extra retries; a lower number than before has no
   * effect.
   */
  public void updateEntryVmCount(int liveCount) {
    entryVmCount = Math.max(entryVmCount, liveCount);
  }

  /** Records a caller's request for {@code service}. */
  public void recordRequest(String service, long now) {
    RetryWindow window = window(service);
    window.requestTimes.addLast(now);
    removeExpired(window.requestTimes, now);
  }

  /**
   * Takes one retry from the budget; returns false if none is left, and the request then ends with
   * the result it has.
   */
  public boolean tryAcquire(String service, long now) {
    RetryWindow window = window(service);
    removeExpired(window.requestTimes, now);
    removeExpired(window.retryTimes, now);
    if (window.retryTimes.size() + 1 > maxRetries(window)) {
      return false;
    }
    window.retryTimes.addLast(now);
    return true;
  }

  private double maxRetries(RetryWindow window) {
    return USED_FRACTION * (retryRatio * window.requestTimes.size() + extraRetries / entryVmCount);
  }

  /** Describes the window of {@code service} for a log line, as {@link #tryAcquire} last saw it. */
  public String describe(String service) {
    RetryWindow window = window(service);
    return window.retryTimes.size()
        + " of "
        + Math.round(maxRetries(window) * TENTHS) / TENTHS
        + " retries used for "
        + window.requestTimes.size()
        + " requests, extra retries shared by "
        + entryVmCount
        + " VMs";
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
