package org.sageladder.core.overload;

import org.sageladder.core.routing.RouteRule;

/**
 * Decides whether a request is sent to the best target found for it, or refused because it gives
 * way to others.
 *
 * <pre>{@code
 * if (policy.judge(candidate) instanceof AdmissionPolicy.Verdict.Refuse refuse) { ... }
 * }</pre>
 */
@FunctionalInterface
public interface AdmissionPolicy {
  /**
   * A request and the best target found for it.
   *
   * @param route the request's route
   * @param expectedWaitMillis expected wait for a slot at the target
   * @param expectedRunMillis expected run time there
   * @param elapsedMillis time since the request arrived at this entry VM
   * @param remainingMillis time left until its deadline
   * @param serviceUtilization requests at all targets of the service, from all entry VMs, per
   *     usable slot; above 1 requests wait
   * @param isWaitMeasured true if the expected wait rests on recent reports of targets
   */
  record Candidate(
      RouteRule route,
      double expectedWaitMillis,
      double expectedRunMillis,
      long elapsedMillis,
      long remainingMillis,
      double serviceUtilization,
      boolean isWaitMeasured) {}

  /** The result of a decision. */
  sealed interface Verdict {
    /** The request is sent. */
    record Send() implements Verdict {}

    /**
     * The request is refused.
     *
     * @param retryAfterMillis time until its caller may return, before jitter is added
     * @param reason the reason, for logs
     */
    record Refuse(long retryAfterMillis, String reason) implements Verdict {}
  }

  /** Decides on one request. */
  Verdict judge(Candidate candidate);

  /** A policy that sends every request. */
  static AdmissionPolicy sendAll() {
    return candidate -> new Verdict.Send();
  }
}
