package org.sageladder.core.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long to wait before the next try of a call that failed.
 *
 * <p>Guards against a stampede: when the store comes back after an outage, all relays find out
 * within one longest wait and, without jitter, in step. Each wait is drawn evenly between zero and
 * a bound that doubles ("full jitter"), so the calls spread over the whole bound.
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

  /** Waits up to {@code first} after one failure, doubling up to {@code longest}. */
  public static Backoff of(Duration initialWait, Duration maxWait, RandomGenerator random) {
    return new Backoff(initialWait, maxWait, random);
  }

  /** Counts a failure and returns the wait before the next try. */
  public Duration recordFailure() {
    long bound =
        Math.min(maxWait.toNanos(), initialWait.toNanos() << Math.min(failureCount, MAX_DOUBLINGS));
    failureCount++;
    return Duration.ofNanos(1 + (long) (random.nextDouble() * bound));
  }

  /** Forgets earlier failures. */
  public void recordSuccess() {
    failureCount = 0;
  }

  /** Failures since the last success. */
  public int failureCount() {
    return failureCount;
  }
}
