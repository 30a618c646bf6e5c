package org.sageladder.core.limits;

/**
 * Limits retries to a fraction of first attempts, so that retries cannot amplify an overload.
 *
 * <pre>{@code
 * budget.recordFirstAttempt();
 * if (failureIsRetryable && budget.tryAcquireRetry()) { ... }
 * }</pre>
 *
 * <p>Each first attempt adds {@code fraction} of a retry to the balance and each retry takes one.
 * The balance is limited to {@link #MAX_SAVED_RETRIES}, so that a long quiet period does not allow
 * a retry storm. Over any period there are at most {@code fraction} retries per first attempt, plus
 * the balance at its start. Thread-safe.
 */
public final class RetryBudget {
  /** Maximum balance, in retries. */
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
   * Creates a budget with a balance of one retry.
   *
   * @param fraction retries allowed per first attempt, 0 to 1
   */
  public static RetryBudget of(double fraction) {
    checkFraction(fraction);
    return new RetryBudget(fraction);
  }

  private static void checkFraction(double fraction) {
    if (!(fraction >= 0 && fraction <= 1)) {
      throw new IllegalArgumentException(
          "retry fraction " + fraction + " is out of range; must be between 0 and 1, e.g. 0.1");
    }
  }

  /** Puts the fraction of a new contract revision in force; the balance is kept. */
  public synchronized void updateFraction(double newFraction) {
    checkFraction(newFraction);
    fraction = newFraction;
  }

  /** Records a request that is sent to a target for the first time. */
  public synchronized void recordFirstAttempt() {
    firstAttempts++;
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + fraction);
  }

  /** Takes one retry; false if none is left and the request must fail instead. */
  public synchronized boolean tryAcquireRetry() {
    if (savedRetries < 1) {
      deniedRetries++;
      return false;
    }
    savedRetries--;
    retries++;
    return true;
  }

  /** First attempts, retries and denied retries since the start. */
  public synchronized Counts counts() {
    return new Counts(firstAttempts, retries, deniedRetries);
  }

  /**
   * Totals of a budget.
   *
   * @param deniedRetries retries that were requested but not allowed
   */
  public record Counts(long firstAttempts, long retries, long deniedRetries) {}
}
