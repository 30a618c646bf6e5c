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
 *
 * <p>An earlier process of the same VM may have used its whole share just before it ended. Within
 * its first window a budget therefore permits only the part of the ratio that a whole share leaves,
 * and no extra retries. The window begins with the first list of VMs, so that the share is known
 * when it ends.
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
  private int entryVmCount;
  private boolean areEntryVmsKnown;
  private long firstListAtMillis;
  private final Map<String, RetryWindow> windowsByService = new HashMap<>();

  private static final class RetryWindow {
    final Deque<Long> requestTimes = new ArrayDeque<>();
    final Deque<Long> retryTimes = new ArrayDeque<>();
  }

  private ServiceRetryBudget(double ratio, double extra, long windowMillis, int entryVmCount) {
    this.retryRatio = ratio;
    this.extraRetries = extra;
    this.windowMillis = windowMillis;
    this.entryVmCount = entryVmCount;
  }

  /**
   * Creates a budget of {@code retryRatio} of the requests of a window plus a share of {@code
   * extraRetries}.
   *
   * @param minEntryVms number of entry VMs that share the extra retries at least: VMs that the
   *     store turns away may be missing from the list of live ones
   */
  public static ServiceRetryBudget of(
      double retryRatio, double extraRetries, long windowMillis, int minEntryVms) {
    return new ServiceRetryBudget(retryRatio, extraRetries, windowMillis, Math.max(1, minEntryVms));
  }

  /** Replaces the limits, also for requests counted before. */
  public void updateLimits(double newRetryRatio, double newExtraRetries, long newWindowMillis) {
    retryRatio = newRetryRatio;
    extraRetries = newExtraRetries;
    windowMillis = newWindowMillis;
  }

  /**
   * Updates the number of entry VMs that share the extra retries; a lower number than before has no
   * effect. The first call begins the first window.
   */
  public void updateEntryVmCount(int liveCount, long now) {
    entryVmCount = Math.max(entryVmCount, liveCount);
    if (!areEntryVmsKnown) {
      areEntryVmsKnown = true;
      firstListAtMillis = now;
    }
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
    if (window.retryTimes.size() + 1 > maxRetries(window, now)) {
      return false;
    }
    window.retryTimes.addLast(now);
    return true;
  }

  private double maxRetries(RetryWindow window, long now) {
    double ratioRetries = retryRatio * window.requestTimes.size();
    return isFirstWindow(now)
        ? (1 - USED_FRACTION) * ratioRetries
        : USED_FRACTION * (ratioRetries + extraRetries / entryVmCount);
  }

  private boolean isFirstWindow(long now) {
    return !areEntryVmsKnown || now - firstListAtMillis < windowMillis;
  }

  /** Describes the window of {@code service} for a log line, as {@link #tryAcquire} last saw it. */
  public String describe(String service, long now) {
    RetryWindow window = window(service);
    String sharing =
        isFirstWindow(now)
            ? "first window without extra retries"
            : "extra retries shared by " + entryVmCount + " VMs";
    return window.retryTimes.size()
        + " of "
        + Math.round(maxRetries(window, now) * TENTHS) / TENTHS
        + " retries used for "
        + window.requestTimes.size()
        + " requests, "
        + sharing;
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
