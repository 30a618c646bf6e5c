package org.sageladder.forward.control;

import org.sageladder.forward.Loop;

/**
 * When this VM was last known to have all changes of the store, and when it last asked whether it
 * has.
 */
final class StoreConfirmation {
  /** The age of a confirmation that has not been received yet. */
  static final long NEVER = Long.MAX_VALUE;

  private final Loop loop;
  private boolean isConfirmed;
  private long confirmedAtMillis;
  private boolean hasAsked;
  private long askedAtMillis;

  StoreConfirmation(Loop loop) {
    this.loop = loop;
  }

  /** Records that all changes until {@code atMillis} are known; an earlier time has no effect. */
  void confirm(long atMillis) {
    confirmedAtMillis = isConfirmed ? Math.max(confirmedAtMillis, atMillis) : atMillis;
    isConfirmed = true;
  }

  /** Time since the last confirmation in milliseconds, or {@link #NEVER}. */
  long ageMillis() {
    return isConfirmed ? loop.nowMillis() - confirmedAtMillis : NEVER;
  }

  /** Records that the store was asked. */
  void recordAsked() {
    hasAsked = true;
    askedAtMillis = loop.nowMillis();
  }

  /** Returns true unless the store was asked within {@code intervalMillis}. */
  boolean mayAskAgain(long intervalMillis) {
    return !hasAsked || loop.nowMillis() - askedAtMillis >= intervalMillis;
  }
}
