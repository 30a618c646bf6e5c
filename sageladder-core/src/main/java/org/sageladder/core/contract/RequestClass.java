package org.sageladder.core.contract;

/** Urgency of a service's requests, most urgent first; load shedding starts with the last. */
public enum RequestClass {
  /** Must be neither lost nor repeated: donations, bids. */
  CRITICAL,
  /** A user is waiting, so the response should be fast. */
  INTERACTIVE,
  /** May be delayed overnight but must complete: exports, catalogue pulls. */
  BACKGROUND
}
