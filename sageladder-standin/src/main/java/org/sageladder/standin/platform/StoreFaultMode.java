package org.sageladder.standin.platform;

/** What the platform's store does with the calls that it gets. */
public enum StoreFaultMode {
  /** All is well. */
  NONE,
  /** Answers 503 and does nothing. */
  BUSY,
  /** Answers 429 and does nothing. */
  TOO_MANY,
  /** Closes the connection and does nothing. */
  RESETS,
  /** Answers nothing, does nothing, and never answers what waited. */
  SILENT,
  /** Does what is asked, and closes the connection without an answer. */
  LOSES_ANSWERS,
  /** Does writes some seconds later and does not answer them; reads are well. */
  LATE_WRITES,
  /** Answers fifty times as slowly. */
  SLOW
}
