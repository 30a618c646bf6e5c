package org.sageladder.core.permit;

/** What a permit's home says to one copy of a request. */
public sealed interface Decision {
  /** This copy is the one to run; end the execution exactly once. */
  record Execute(Execution execution) implements Decision {}

  /** The request ran before; this is the answer it got. */
  record Replay(RecordedAnswer answer) implements Decision {}

  /** An earlier copy is being run now; ask again with the same permit. */
  record Running() implements Decision {}

  /** An earlier copy was not run and no copy ever will be: a new try needs a fresh permit. */
  record NotRun() implements Decision {}

  /** An earlier copy may have run and its answer is lost; no copy will be run. */
  record Unknown() implements Decision {}

  /** So old that its state is gone: this copy is not run, an earlier one may have. */
  record Expired() implements Decision {}

  /** The permit was used for another request, or belongs to another service or key. */
  record Mismatch(String reason) implements Decision {}

  /** Another incarnation minted the permit; only that one may run it. */
  record Foreign() implements Decision {}

  /** This home has stopped; {@code successor} decides in its place. */
  record Moved(String successor) implements Decision {}
}
