package org.sageladder.client;

/**
 * Keeps retries to a fraction of first tries, so that an outage does not multiply the load.
 *
 * <p>Safe for use by several threads.
 */
final class RetryBudget {
  private static final double MOST_SAVED = 100;

  private final double fraction;
  private double saved;

  private RetryBudget(double fraction, double saved) {
    this.fraction = fraction;
    this.saved = saved;
  }

  /** A budget that starts with ten retries. */
  static RetryBudget create(double fraction) {
    return new RetryBudget(fraction, fraction > 0 ? 10 : 0);
  }

  synchronized void firstTry() {
    saved = Math.min(MOST_SAVED, saved + fraction);
  }

  /** Takes one retry out; false where none is left. */
  synchronized boolean take() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
