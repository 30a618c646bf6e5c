package org.sageladder.entry.request;

import org.sageladder.core.permit.RecordedAnswer;

/** Tells a permit's home how the one run of the permit goes; later news overrides "unknown". */
interface PermitRun {
  /** A target ran the request. */
  void recordRan(RecordedAnswer answer);

  /** No target ran the request. */
  void recordNotRun();

  /** A target may have run the request. */
  void recordUnknown();

  /** A permit for a new try, or empty where this entry VM gives none any more. */
  String mintNewPermit();

  /** The sealed word that lets another entry VM run this one copy. */
  String dispatchToken();
}
