package org.sageladder.core.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the wait before the next attempt of a call that failed.
 *
 * <p>When the store comes back after an outage, all relays notice within one maximum wait and,
 * without jitter, would call at the same moments. Each wait is drawn uniformly between zero and a
 * bound that doubles with each failure ("full jitter"), so the calls are spread over the whole
 * bound.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 10;

  private final Duration initialWait;
  private final Duration maxWait;
  private final RandomGenerator random;
  private int failureCount;

  private Backoff(Duration initialWait, Duration maxWait, RandomGenerator random) {
    this.initialWait = initialWait;
    this.maxWait = maxWait;
    this.random = random;
  }

  /**
   * Returns a backoff that waits up to {@code initialWait} after the first failure, with a bound
   * that doubles up to {@code maxWait}.
   */
  public static Backoff of(Duration initialWait, Duration maxWait, RandomGenerator random) {
    return new Backoff(initialWait, maxWait, random);
  }

  /** Records a failure and returns the wait before the next attempt. */
  public Duration recordFailure() {
    long boundNanos =
        Math.min(maxWait.toNanos(), initialWait.toNanos() << Math.min(failureCount, MAX_DOUBLINGS));
    failureCount++;
    return Duration.ofNanos(1 + (long) (random.nextDouble() * boundNanos));
  }

  /** Records a success, which resets the backoff. */
  public void recordSuccess() {
    failureCount = 0;
  }

  /** Number of failures since the last success. */
  public int failureCount() {
    return failureCount;
  }
}
