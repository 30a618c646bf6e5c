package org.sageladder.standin.platform;

/** Faults that the stand-in of the platform's store can inject into calls. */
public enum StoreFaultMode {
  /** No fault. */
  NONE,
  /** Answers 503; the call has no effect. */
  BUSY,
  /** Answers 429; the call has no effect. */
  TOO_MANY,
  /** Resets the connection; the call has no effect. */
  RESETS,
  /** Never answers, not even pending watches; calls have no effect. */
  SILENT,
  /** Never answers watches; other calls are answered. */
  SILENT_WATCHES,
  /** Executes the call and resets the connection without an answer. */
  LOSES_ANSWERS,
  /** Executes writes three seconds later without an answer; reads work. */
  LATE_WRITES,
  /** Answers fifty times more slowly. */
  SLOW
}
