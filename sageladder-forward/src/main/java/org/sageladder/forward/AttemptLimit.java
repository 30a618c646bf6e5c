package org.sageladder.forward;

import org.sageladder.core.placing.ServiceRetryBudget;
import org.sageladder.core.routing.RouteRule;

/** Counts the attempts of one request and decides whether it may be sent to another target. */
final class AttemptLimit {
  /** Number of unreachable or misdirected targets after which the request fails. */
  private static final int MAX_UNREACHED_TARGETS = 4;

  /** With less time than this left, another target could not respond in time. */
  private static final long MIN_REMAINING_MILLIS = 30;

  private final Forwarder forwarder;
  private int sendCount;
  private int unreachedCount;

  AttemptLimit(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  /** Number of attempts that may have reached a target. */
  int sendCount() {
    return sendCount;
  }

  /** Counts attempts that another entry VM made. */
  void recordSentElsewhere(int count) {
    sendCount += count;
  }

  /** Number of targets that got nothing of the request. */
  int unreachedCount() {
    return unreachedCount;
  }

  /** Counts an attempt that may have reached its target. */
  void recordSent() {
    sendCount++;
  }

  /** Counts an attempt of which its target got nothing, or that was misdirected. */
  void recordUnreached() {
    unreachedCount++;
  }

  /** True if another target may be tried after one that got nothing of the request. */
  boolean permitsAnotherTarget(long remainingMillis) {
    return unreachedCount < MAX_UNREACHED_TARGETS && remainingMillis > MIN_REMAINING_MILLIS;
  }

  /** Takes a retry from the budget of {@code service}; false if the request may not be retried. */
  boolean tryAcquireRetry(
      RouteRule route, String service, long remainingMillis, RequestLog.Subject subject) {
    if (sendCount >= route.maxTargets() || !permitsAnotherTarget(remainingMillis)) {
      return false;
    }
    ServiceRetryBudget budget = forwarder.retryBudget();
    long now = forwarder.loop().nowMillis();
    boolean isPermitted = budget.tryAcquire(service, now);
    forwarder
        .requestLog()
        .recordRetryDecision(subject, service, isPermitted, budget.describe(service, now));
    return isPermitted;
  }
}
