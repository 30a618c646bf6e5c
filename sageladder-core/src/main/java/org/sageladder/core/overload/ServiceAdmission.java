package org.sageladder.core.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.core.overload.AdmissionPolicy.Candidate;
import org.sageladder.core.overload.AdmissionPolicy.Overload;
import org.sageladder.core.overload.AdmissionPolicy.Verdict;

/**
 * Admission to the targets of one service.
 *
 * <p>While the service is overloaded, requests are refused by the expected wait for a slot: none up
 * to a bound, and a part that grows with the wait beyond it, as in random early detection. All
 * routes share the queues, so that the bound follows from the shortest latency goal among routes of
 * the same or a higher priority. A lower priority has a lower bound and gives way first, but is
 * sent at least half as often as all requests.
 */
final class ServiceAdmission {
  /** Utilization at which an overload begins: requests wait at most targets. */
  private static final double OVERLOADED_UTILIZATION = 1.25;

  /** Utilization at which an overload ends; lower, so that the state does not flap. */
  private static final double RELIEVED_UTILIZATION = 1;

  /** Part of the latency goal that may pass in a queue; the rest is needed for the run. */
  private static final double GOAL_FRACTION_IN_QUEUE = 0.5;

  /** Factor on the bound of retries, so that they displace no first tries. */
  private static final double RETRY_FACTOR = 0.5;

  /**
   * Range of waits beyond the bound in which the refused part grows from none to all, as a fraction
   * of the time in the queue. Estimates of waits are old and inexact: with a sharp bound all entry
   * VMs would refuse and admit by turns.
   */
  private static final double REFUSAL_RANGE = 0.5;

  /** Minimum part of a priority's requests that is sent, as a fraction of that of all requests. */
  private static final double MIN_RELATIVE_SHARE = 0.5;

  /** Requests of a priority after which its share is known. */
  private static final double MIN_REQUESTS = 2;

  /** Retry-after times are spread up to this factor. */
  private static final double MAX_JITTER_FACTOR = 1.75;

  /** Shorter times would not let a queue become shorter. */
  private static final long MIN_RETRY_AFTER_MILLIS = 50;

  /** Time constant of the counts: a few queue lengths. */
  private static final double COUNT_MILLIS = 2_000;

  /** Time after which a route without requests no longer influences the bound of others. */
  private static final long ROUTE_EXPIRY_MILLIS = 5_000;

  /** A route that recently had requests. */
  private record ActiveRoute(int priority, long goalMillis, long seenAtMillis) {}

  /** What became of the requests of one priority. */
  private static final class PriorityCounts {
    final DecayingCount sent = DecayingCount.over(COUNT_MILLIS);
    final DecayingCount refused = DecayingCount.over(COUNT_MILLIS);

    /** Sum of the refused parts of requests so far, less the refused requests. */
    double dueRefusals;

    double sentFraction(long now) {
      double sentCount = sent.value(now);
      double count = sentCount + refused.value(now);
      return count < MIN_REQUESTS ? 1 : sentCount / count;
    }
  }

  private final Map<String, ActiveRoute> activeRoutes = new HashMap<>();
  private final Map<Integer, PriorityCounts> countsByPriority = new TreeMap<>();
  private final PriorityCounts totals = new PriorityCounts();
  private double slotHoldMillis;
  private boolean isOverloaded;
  private long overloadedSinceMillis;

  /** Returns true if requests may be refused now. */
  boolean isOverloaded() {
    return isOverloaded;
  }

  /** Decides on a request for this service. */
  Verdict judge(Candidate candidate, long now) {
    updateState(candidate.load(), now);
    if (!isOverloaded) {
      return new Verdict.Send();
    }
    recordRoute(candidate, now);
    slotHoldMillis = candidate.slotHoldMillis();
    PriorityCounts counts =
        countsByPriority.computeIfAbsent(candidate.priority(), priority -> new PriorityCounts());
    double queueMillis = queueMillis(candidate.priority());
    double boundMillis = queueMillis * boundFactor(candidate);
    if (!isRefusalDue(candidate, counts, boundMillis, queueMillis, now)) {
      counts.sent.increment(now);
      totals.sent.increment(now);
      return new Verdict.Send();
    }
    counts.refused.increment(now);
    totals.refused.increment(now);
    return new Verdict.Refuse(
        retryAfterMillis(candidate, boundMillis, now),
        new Overload(
            candidate.priority(), candidate.load(), now - overloadedSinceMillis, boundMillis));
  }

  private void updateState(ServiceLoad load, long now) {
    boolean wasOverloaded = isOverloaded;
    double threshold = isOverloaded ? RELIEVED_UTILIZATION : OVERLOADED_UTILIZATION;
    isOverloaded = load.isMeasured() && load.utilization() >= threshold;
    if (isOverloaded && !wasOverloaded) {
      overloadedSinceMillis = now;
      countsByPriority.clear();
      activeRoutes.clear();
    }
  }

  private void recordRoute(Candidate candidate, long now) {
    long goalMillis = candidate.route().latencyGoalMillis();
    activeRoutes.put(
        candidate.route().name(), new ActiveRoute(candidate.priority(), goalMillis, now));
    activeRoutes.values().removeIf(route -> now - route.seenAtMillis() > ROUTE_EXPIRY_MILLIS);
  }

  /**
   * Returns the time that requests of a priority may wait, so that those of the same or a higher
   * priority end within their goals. It is never less than the time of one run: with shorter queues
   * slots would stay idle until the next request arrives.
   */
  private double queueMillis(int priority) {
    long goalMillis =
        activeRoutes.values().stream()
            .filter(route -> route.priority() <= priority)
            .mapToLong(ActiveRoute::goalMillis)
            .min()
            .orElse(0);
    return Math.max(slotHoldMillis, GOAL_FRACTION_IN_QUEUE * goalMillis);
  }

  private double boundFactor(Candidate candidate) {
    long higherPriorities =
        activeRoutes.values().stream()
            .mapToInt(ActiveRoute::priority)
            .filter(priority -> priority < candidate.priority())
            .distinct()
            .count();
    double factor = 1.0 / (1 + higherPriorities);
    return candidate.isRetry() ? factor * RETRY_FACTOR : factor;
  }

  /**
   * Returns true if a refusal is due. The refused parts are summed up in place of drawing random
   * numbers, so that refusals of a priority are evenly spaced.
   */
  private boolean isRefusalDue(
      Candidate candidate,
      PriorityCounts counts,
      double boundMillis,
      double queueMillis,
      long now) {
    if (candidate.expectedWaitMillis() <= boundMillis) {
      return false;
    }
    double excessMillis = candidate.expectedWaitMillis() - boundMillis;
    double refusedPart = Math.min(1, excessMillis / (queueMillis * REFUSAL_RANGE));
    counts.dueRefusals += refusedPart;
    if (counts.dueRefusals < 1) {
      return false;
    }
    counts.dueRefusals--;
    boolean isStarving = counts.sentFraction(now) < MIN_RELATIVE_SHARE * totals.sentFraction(now);
    return candidate.isRetry() || !isStarving;
  }

  /**
   * Returns the time within which the caller can return and still be answered within its goal, if
   * there is any; otherwise the time in which the targets can run what was refused recently.
   */
  private long retryAfterMillis(Candidate candidate, double boundMillis, long now) {
    double spareMillis =
        candidate.route().latencyGoalMillis() - candidate.expectedRunMillis() - boundMillis;
    if (spareMillis / MAX_JITTER_FACTOR >= MIN_RETRY_AFTER_MILLIS) {
      return Math.round(spareMillis / MAX_JITTER_FACTOR);
    }
    double sentPerMilli = Math.max(1, totals.sent.value(now)) / COUNT_MILLIS;
    return Math.round(Math.max(MIN_RETRY_AFTER_MILLIS, totals.refused.value(now) / sentPerMilli));
  }
}
