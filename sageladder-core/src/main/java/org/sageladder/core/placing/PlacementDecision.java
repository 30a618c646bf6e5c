package org.sageladder.core.placing;

import org.jspecify.annotations.Nullable;
import org.sageladder.core.overload.AdmissionPolicy;

/** The result of choosing a target for a request. */
public sealed interface PlacementDecision {
  /**
   * The request is sent to a target.
   *
   * @param target the target
   * @param isWarm true if the target is assumed to be warm for the object
   * @param expectedRunMillis expected run time
   * @param expectedWaitMillis expected wait for a slot
   */
  record Send(
      TargetState target, boolean isWarm, double expectedRunMillis, double expectedWaitMillis)
      implements PlacementDecision {}

  /**
   * No target can take the request in time.
   *
   * @param reason the reason, for logs and metrics
   * @param retryAfterMillis time until capacity is expected, before jitter is added
   * @param bestCandidate the estimate by which the best target was refused, or null if none was
   *     estimated
   * @param overload state of the overloaded service, or null if it was refused for another reason
   */
  record Refuse(
      Reason reason,
      long retryAfterMillis,
      @Nullable CandidateEstimate bestCandidate,
      AdmissionPolicy.@Nullable Overload overload)
      implements PlacementDecision {
    /** A refusal for another reason than overload. */
    public Refuse(Reason reason, long retryAfterMillis, @Nullable CandidateEstimate bestCandidate) {
      this(reason, retryAfterMillis, bestCandidate, null);
    }
  }

  /**
   * The estimate for the best target when it was judged too late.
   *
   * @param send the target with the expected wait and run time
   * @param slotHoldMillis measured time for which a request of the service holds a slot
   * @param targetLoad estimated number of requests at the target, from all entry VMs
   * @param measuredRunCount measured runs of the route behind the expected run time; 0 if it is a
   *     default estimate
   */
  record CandidateEstimate(
      Send send, double slotHoldMillis, double targetLoad, long measuredRunCount) {}

  /** The reason why no target was chosen. */
  enum Reason {
    /** No target of the service is known in a region that the route allows. */
    NO_TARGET,
    /** All targets that could take the request asked this entry VM for none for a time. */
    ALL_BACKED_OFF,
    /** All targets that could take the request were tried already. */
    ALL_TRIED,
    /** The remaining targets are cold and already get as many requests as they can handle. */
    ALL_COLD,
    /** The remaining targets state a request rate, and this entry VM's part of it is used up. */
    ALL_LIMITED,
    /** The expected wait for a slot is longer than the remaining time. */
    TOO_LATE,
    /** The service is overloaded and the request gives way to others. */
    OVERLOAD
  }
}
