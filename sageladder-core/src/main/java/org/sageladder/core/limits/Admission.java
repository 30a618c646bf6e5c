package org.sageladder.core.limits;

import org.sageladder.core.membership.Holding;
import org.sageladder.core.result.Result;

/** The decision of a gate on a request. */
public sealed interface Admission {
  /**
   * The request got a slot of a target. The slot must be released exactly once, with what happened.
   */
  record Admitted(Slot slot) implements Admission {}

  /** The request got no slot, and no target received it. */
  record Refused(Result.NotRun result) implements Admission {}

  /** A slot in use. */
  interface Slot {
    /** The target that the slot belongs to. */
    Holding target();

    /** Releases the slot; further calls have no effect. */
    void release(Completion completion);
  }

  /** How the use of a slot ended. */
  enum Completion {
    /** The target sent a complete response. */
    ANSWERED,
    /** The target refused the request before running it: it sheds load or is draining. */
    REFUSED,
    /** The target refused the request because it is draining. */
    LEAVING,
    /** The connection failed or the response was incomplete. */
    LOST,
    /** No response arrived by the deadline. */
    TIMEOUT,
    /** The caller cancelled the request. */
    CANCELLED,
    /** Nothing was sent to the target. */
    UNUSED
  }
}
