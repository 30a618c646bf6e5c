package org.sageladder.core.permit;

/**
 * The issuer's decision on one copy of a request. The event log records the simple names of the
 * kinds.
 */
public sealed interface Decision {
  /** This copy is to be executed; the caller must end the execution exactly once. */
  record Execute(Execution execution) implements Decision {}

  /** The request ran before; {@code answer} is what the target answered then. */
  record Replay(RecordedAnswer answer) implements Decision {}

  /** An earlier copy is executing now; ask again later with the same permit. */
  record Running() implements Decision {}

  /** No copy ran and none will run; a further attempt needs a new permit. */
  record NotRun() implements Decision {}

  /** An earlier copy may have run, but its answer is lost; no further copy is executed. */
  record Unknown() implements Decision {}

  /**
   * The permit's state has been dropped. This copy is not executed; an earlier one may have run.
   */
  record Expired() implements Decision {}

  /** The permit was used for another request, or belongs to another service or idempotency key. */
  record Mismatch(String reason) implements Decision {}

  /** Another incarnation minted the permit, and only that one may execute it. */
  record Foreign() implements Decision {}

  /** This issuer has stopped; {@code successor} decides in its place. */
  record Moved(String successor) implements Decision {}
}
