package org.sageladder.forward.control;

import org.sageladder.forward.Loop;

/**
 * Tells whether the store was away from this VM for long enough that leases may have lapsed.
 *
 * <p>A single call without an answer is no outage: it may have been sent on a connection that had
 * become silent, and a store may cut off a watch that waits. In an outage that is long enough for a
 * lease to lapse, at least two calls of a kind fail one after the other.
 */
final class StoreOutageDetector {
  private static final int MIN_FAILED_CALLS = 2;

  private final Loop loop;
  private int unansweredCalls;
  private boolean isOutage;
  private boolean hasEverBeenAway;
  private long lastAwayAtMillis;

  StoreOutageDetector(Loop loop) {
    this.loop = loop;
  }

  /** Records that a call other than a watch was not answered. */
  void recordUnansweredCall() {
    unansweredCalls++;
    recordFailures(unansweredCalls);
  }

  /** Records that this many calls of a kind have failed one after the other. */
  void recordFailures(int number) {
    if (number >= MIN_FAILED_CALLS) {
      isOutage = true;
    }
  }

  /** Records an outage that goes on until the next answer. */
  void recordOutage() {
    isOutage = true;
  }

  /** Records that the store was away until now. */
  void recordPastOutage() {
    hasEverBeenAway = true;
    lastAwayAtMillis = loop.nowMillis();
  }

  /** Records an answer of the store. */
  void recordAnswer() {
    unansweredCalls = 0;
    if (isOutage) {
      recordPastOutage();
    }
    isOutage = false;
  }

  /** True during an outage, and for {@code millis} after it. */
  boolean wasOutageWithin(long millis) {
    return isOutage || (hasEverBeenAway && loop.nowMillis() - lastAwayAtMillis < millis);
  }
}
