package org.sageladder.core.limits;

/**
 * Bounds retries to a fraction of first tries, so that retries cannot multiply an overload.
 *
 * <pre>{@code
 * budget.firstTry();
 * if (failedInAWayThatMayBeRepeated && budget.takeRetry()) { ... }
 * }</pre>
 *
 * <p>Each first try earns {@code fraction} of a retry, each retry spends one; at most {@link
 * #MOST_SAVED} are saved up, so that a quiet hour does not pay for a storm. Over any time the
 * retries are at most {@code fraction} of the first tries, plus what had been saved. Safe for use
 * by several threads.
 */
public final class RetryBudget {
  /** Retries that may be saved up. */
  public static final int MOST_SAVED = 10;

  private double fraction;
  private double saved = 1;
  private long firstTries;
  private long retries;
  private long denied;

  private RetryBudget(double fraction) {
    this.fraction = fraction;
  }

  /**
   * A budget with one retry saved.
   *
   * @param fraction retries allowed as a part of first tries, 0 to 1
   */
  public static RetryBudget of(double fraction) {
    checkFraction(fraction);
    return new RetryBudget(fraction);
  }

  private static void checkFraction(double fraction) {
    if (!(fraction >= 0 && fraction <= 1)) {
      throw new IllegalArgumentException(
          "retry fraction " + fraction + " must be from 0 to 1, for instance 0.1");
    }
  }

  /** Puts the fraction of a new contract revision in force; what was saved stays. */
  public synchronized void fraction(double newFraction) {
    checkFraction(newFraction);
    fraction = newFraction;
  }

  /** Counts a request that is sent to a target for the first time. */
  public synchronized void firstTry() {
    firstTries++;
    saved = Math.min(MOST_SAVED, saved + fraction);
  }

  /** Spends one retry; false where none is left, and the request must fail instead. */
  public synchronized boolean takeRetry() {
    if (saved < 1) {
      denied++;
      return false;
    }
    saved--;
    retries++;
    return true;
  }

  /** First tries, retries and denied retries since the start. */
  public synchronized Numbers numbers() {
    return new Numbers(firstTries, retries, denied);
  }

  /**
   * What a budget counted.
   *
   * @param denied retries that were wanted and not allowed
   */
  public record Numbers(long firstTries, long retries, long denied) {}
}
