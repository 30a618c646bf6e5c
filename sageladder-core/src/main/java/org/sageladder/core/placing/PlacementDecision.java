package org.sageladder.core.placing;

import org.jspecify.annotations.Nullable;

/** What becomes of a request that asks for a target. */
public sealed interface PlacementDecision {
  /**
   * It goes to a target.
   *
   * @param target the target
   * @param isWarm true where the target is believed to know the object
   * @param expectedRunMillis how long the run is expected to take
   * @param expectedWaitMillis how long it is expected to wait for a slot
   */
  record Send(
      TargetState target, boolean isWarm, double expectedRunMillis, double expectedWaitMillis)
      implements PlacementDecision {}

  /**
   * No target can take it in time.
   *
   * @param reason why, for logs and metrics
   * @param retryAfterMillis when there will be room by what is known, before it is spread
   * @param bestCandidate what the best target was refused by, or null where none was looked at
   */
  record Refuse(Reason reason, long retryAfterMillis, @Nullable CandidateEstimate bestCandidate)
      implements PlacementDecision {}

  /**
   * What was believed of the best target when it was judged too late.
   *
   * @param send the target with the wait and the run that were expected
   * @param slotHoldMillis how long requests of the service hold a slot, by what was measured
   * @param targetLoad requests believed to be there, of all entry VMs
   * @param measuredRunCount runs of the route that the expected run follows from; 0 where it is a
   *     guess
   */
  record CandidateEstimate(
      Send send, double slotHoldMillis, double targetLoad, long measuredRunCount) {}

  /** Why no target was chosen. */
  enum Reason {
    /** No target of the service is known, in a region that the route allows. */
    NO_TARGET,
    /** All that could take it were tried already. */
    ALL_TRIED,
    /** Those that are left are cold and get as much as they bear. */
    ALL_COLD,
    /** The wait for a slot is longer than the time that is left. */
    TOO_LATE
  }
}
