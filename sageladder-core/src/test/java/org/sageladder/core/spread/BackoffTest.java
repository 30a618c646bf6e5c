package org.sageladder.core.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BackoffTest {
  private static final Duration INITIAL_WAIT = Duration.ofMillis(100);
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);

  // Guards against overloading the store when it comes back after an outage: without jitter, the
  // relays of all 94 zones would call at the same moment, and again after each maximum wait.
  @Test
  void callsAfterOutageAreSpreadOverMaxWait() {
    int[] callsInTenth = new int[30];
    SplittableRandom seeds = new SplittableRandom(20261202);
    for (int relay = 0; relay < 94; relay++) {
      Backoff backoff = Backoff.of(INITIAL_WAIT, MAX_WAIT, seeds.split());
      Duration at = Duration.ZERO;
      while (at.compareTo(Duration.ofMinutes(10)) < 0) {
        at = at.plus(backoff.recordFailure());
      }
      long after = at.minus(Duration.ofMinutes(10)).toMillis();
      callsInTenth[(int) (after / 100)]++;
    }
    for (int calls : callsInTenth) {
      assertTrue(calls <= 94 / 4, "too many calls within 100 ms: " + calls);
    }
  }

  @Test
  void waitIsBoundedAndResetBySuccess() {
    Backoff backoff = Backoff.of(INITIAL_WAIT, MAX_WAIT, new SplittableRandom(7));
    for (int i = 0; i < 100; i++) {
      assertTrue(backoff.recordFailure().compareTo(MAX_WAIT) <= 0);
    }
    backoff.recordSuccess();
    assertEquals(0, backoff.failureCount());
    assertTrue(backoff.recordFailure().compareTo(INITIAL_WAIT) <= 0);
  }
}
