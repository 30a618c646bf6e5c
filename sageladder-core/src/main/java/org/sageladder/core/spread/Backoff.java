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
  private static final int MOST_DOUBLINGS = 10;

  private final Duration first;
  private final Duration longest;
  private final RandomGenerator random;
  private int failures;

  private Backoff(Duration first, Duration longest, RandomGenerator random) {
    this.first = first;
    this.longest = longest;
    this.random = random;
  }

  /** Waits up to {@code first} after one failure, doubling up to {@code longest}. */
  public static Backoff of(Duration first, Duration longest, RandomGenerator random) {
    return new Backoff(first, longest, random);
  }

  /** Counts a failure and returns the wait before the next try. */
  public Duration failed() {
    long bound = Math.min(longest.toNanos(), first.toNanos() << Math.min(failures, MOST_DOUBLINGS));
    failures++;
    return Duration.ofNanos(1 + (long) (random.nextDouble() * bound));
  }

  /** Forgets earlier failures. */
  public void succeeded() {
    failures = 0;
  }

  /** Failures since the last success. */
  public int failures() {
    return failures;
  }
}
