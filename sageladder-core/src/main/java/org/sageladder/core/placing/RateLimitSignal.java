package org.sageladder.core.placing;

/** What an answer of a target states about the request rate that the target accepts. */
public sealed interface RateLimitSignal {
  /** The target accepts any rate. */
  record Unlimited() implements RateLimitSignal {}

  /**
   * The target limits its request rate.
   *
   * @param requestsPerSecond the rate that it accepts from all entry VMs together, 0 or more
   */
  record Limited(double requestsPerSecond) implements RateLimitSignal {
    /** Rejects rates that are negative or not finite. */
    public Limited {
      if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
        throw new IllegalArgumentException(
            "rate limit is " + requestsPerSecond + "; expected a finite number, 0 or more");
      }
    }
  }

  /**
   * The answer states a limit that cannot be read; the one stated before stays in force.
   *
   * @param text the text that was received
   */
  record Malformed(String text) implements RateLimitSignal {}
}
