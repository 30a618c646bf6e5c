package org.sageladder.entry.request;

import org.sageladder.core.permit.RecordedAnswer;

/** Records the outcome of the one run that a permit allows; a later outcome overrides unknown. */
interface PermitRun {
  /** A target ran the request. */
  void recordRan(RecordedAnswer answer);

  /** No target ran the request. */
  void recordNotRun();

  /** A target may have run the request. */
  void recordUnknown();

  /** Mints a permit for a retry; empty if this entry VM mints no more. */
  String mintNewPermit();

  /** A sealed token that authorizes another entry VM to run this copy. */
  String dispatchToken();
}
