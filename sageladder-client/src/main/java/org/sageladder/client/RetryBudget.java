package org.sageladder.client;

/**
 * A token bucket that limits retries to a fraction of first attempts, so that an outage does not
 * multiply the load.
 *
 * <p>Thread-safe.
 */
final class RetryBudget {
  private static final double MAX_TOKENS = 100;

  private final double tokensPerRequest;
  private double tokens;

  private RetryBudget(double fraction, double initialTokens) {
    this.tokensPerRequest = fraction;
    this.tokens = initialTokens;
  }

  /** Creates a budget that starts with ten retries, or none if {@code fraction} is 0. */
  static RetryBudget create(double fraction) {
    return new RetryBudget(fraction, fraction > 0 ? 10 : 0);
  }

  synchronized void recordFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  synchronized boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
