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
 * #MAX_SAVED_RETRIES} are saved up, so that a quiet hour does not pay for a storm. Over any time
 * the retries are at most {@code fraction} of the first tries, plus what had been saved. Safe for
 * use by several threads.
 */
public final class RetryBudget {
  /** Retries that may be saved up. */
  public static final int MAX_SAVED_RETRIES = 10;

  private double fraction;
  private double savedRetries = 1;
  private long firstAttempts;
  private long retries;
  private long deniedRetries;

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
  public synchronized void updateFraction(double newFraction) {
    checkFraction(newFraction);
    fraction = newFraction;
  }

  /** Counts a request that is sent to a target for the first time. */
  public synchronized void recordFirstAttempt() {
    firstAttempts++;
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + fraction);
  }

  /** Spends one retry; false where none is left, and the request must fail instead. */
  public synchronized boolean tryAcquireRetry() {
    if (savedRetries < 1) {
      deniedRetries++;
      return false;
    }
    savedRetries--;
    retries++;
    return true;
  }

  /** First tries, retries and denied retries since the start. */
  public synchronized Counts counts() {
    return new Counts(firstAttempts, retries, deniedRetries);
  }

  /**
   * What a budget counted.
   *
   * @param deniedRetries retries that were wanted and not allowed
   */
  public record Counts(long firstAttempts, long retries, long deniedRetries) {}
}
