package org.sageladder.entry.request;

import org.sageladder.core.permit.RecordedAnswer;

/** Tells a permit's home how the one run of the permit goes; later news overrides "unknown". */
interface PermitRun {
  /** A target ran the request. */
  void ran(RecordedAnswer answer);

  /** No target ran the request. */
  void notRun();

  /** A target may have run the request. */
  void unknown();

  /** A permit for a new try, or empty where this entry VM gives none any more. */
  String freshPermit();

  /** The sealed word that lets another entry VM run this one copy. */
  String dispatch();
}
