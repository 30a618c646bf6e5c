package org.sageladder.core.placing;

import org.jspecify.annotations.Nullable;

/** What becomes of a request that asks for a target. */
public sealed interface PlacingDecision {
  /**
   * It goes to a target.
   *
   * @param target the target
   * @param known true where the target is believed to know the object
   * @param runMillis how long the run is expected to take
   * @param waitMillis how long it is expected to wait for a slot
   */
  record Send(TargetState target, boolean known, double runMillis, double waitMillis)
      implements PlacingDecision {}

  /**
   * No target can take it in time.
   *
   * @param reason why, for logs and metrics
   * @param retryMillis when there will be room by what is known, before it is spread
   * @param judged what the best target was refused by, or null where none was looked at
   */
  record Refuse(Reason reason, long retryMillis, @Nullable Judged judged)
      implements PlacingDecision {}

  /**
   * What was believed of the best target when it was judged too late.
   *
   * @param send the target with the wait and the run that were expected
   * @param slotMillis how long requests of the service hold a slot, by what was measured
   * @param load requests believed to be there, of all entry VMs
   * @param runsMeasured runs of the route that the expected run follows from; 0 where it is a guess
   */
  record Judged(Send send, double slotMillis, double load, long runsMeasured) {}

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
