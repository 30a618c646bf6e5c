package org.sageladder.client;

/**
 * Keeps retries to a fraction of first tries, so that an outage does not multiply the load.
 *
 * <p>Safe for use by several threads.
 */
final class RetryBudget {
  private static final double MAX_TOKENS = 100;

  private final double tokensPerRequest;
  private double tokens;

  private RetryBudget(double fraction, double saved) {
    this.tokensPerRequest = fraction;
    this.tokens = saved;
  }

  /** A budget that starts with ten retries. */
  static RetryBudget create(double fraction) {
    return new RetryBudget(fraction, fraction > 0 ? 10 : 0);
  }

  synchronized void recordFirstAttempt() {
    tokens = Math.min(MAX_TOKENS, tokens + tokensPerRequest);
  }

  /** Takes one retry out; false where none is left. */
  synchronized boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
