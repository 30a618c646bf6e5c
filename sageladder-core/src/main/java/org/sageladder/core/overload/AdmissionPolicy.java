package org.sageladder.core.overload;

import org.sageladder.core.routing.RouteRule;

/**
 * Decides whether a request is sent to the best target found for it, or refused because it gives
 * way to others.
 *
 * <pre>{@code
 * if (policy.judge(candidate, now) instanceof AdmissionPolicy.Verdict.Refuse refuse) { ... }
 * }</pre>
 */
@FunctionalInterface
public interface AdmissionPolicy {
  /**
   * A request and the best target found for it.
   *
   * @param route the request's route
   * @param service the service that the request goes to
   * @param priority priority of the request; 0 is the highest
   * @param isRetry true if the request was sent to another target before
   * @param expectedWaitMillis expected wait for a slot at the target; 0 if a slot is free
   * @param expectedRunMillis expected run time there
   * @param slotHoldMillis measured time for which a request of the service holds a slot
   * @param load load of the service's targets
   */
  record Candidate(
      RouteRule route,
      String service,
      int priority,
      boolean isRetry,
      double expectedWaitMillis,
      double expectedRunMillis,
      double slotHoldMillis,
      ServiceLoad load) {}

  /** The result of a decision. */
  sealed interface Verdict {
    /** The request is sent. */
    record Send() implements Verdict {}

    /**
     * The request is refused.
     *
     * @param retryAfterMillis time in which room is expected, before jitter is added
     * @param overload the inputs of the decision, for logs
     */
    record Refuse(long retryAfterMillis, Overload overload) implements Verdict {}
  }

  /**
   * State of an overloaded service.
   *
   * @param priority priority of the refused request
   * @param load load of the service's targets
   * @param overloadedForMillis time since the overload began
   * @param boundMillis wait above which a growing part of these requests is refused
   */
  record Overload(int priority, ServiceLoad load, long overloadedForMillis, double boundMillis) {}

  /** Decides on one request. */
  Verdict judge(Candidate candidate, long now);
}
