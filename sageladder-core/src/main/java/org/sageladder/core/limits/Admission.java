package org.sageladder.core.limits;

import org.sageladder.core.membership.Holding;
import org.sageladder.core.result.Result;

/** A gate's answer. */
public sealed interface Admission {
  /** One slot of one target; release it exactly once with what happened there. */
  record Admitted(Slot slot) implements Admission {}

  /** No slot: no target saw the request. */
  record Refused(Result.NotRun result) implements Admission {}

  /** A slot in use. */
  interface Slot {
    /** The target that the slot belongs to. */
    Holding target();

    /** Gives the slot back; later calls have no effect. */
    void release(Completion completion);
  }

  /** What the holder of a slot saw of the target. */
  enum Completion {
    /** A whole answer came. */
    ANSWERED,
    /** The target refused before running: it sheds load or leaves. */
    REFUSED,
    /** The target refused because it is leaving. */
    LEAVING,
    /** The connection failed or the answer was cut. */
    LOST,
    /** No answer by the deadline. */
    TIMEOUT,
    /** The caller gave up. */
    CANCELLED,
    /** Nothing was sent. */
    UNUSED
  }
}
