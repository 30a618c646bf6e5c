package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.RequestClass;

class LinkRateLimiterTest {
  private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

  private final LinkRateLimiter limiter = LinkRateLimiter.of(100, 0);

  @Test
  void criticalRequestsPassASaturatedLink() {
    // Background and interactive requests saturate the link; then critical requests arrive from the
    // same region. They must pass without waiting behind requests that can wait.
    int criticalCount = 0;
    int otherCount = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      otherCount += limiter.tryAcquire(RequestClass.BACKGROUND, millis * NANOS_PER_MILLI) ? 1 : 0;
      otherCount += limiter.tryAcquire(RequestClass.INTERACTIVE, millis * NANOS_PER_MILLI) ? 1 : 0;
      boolean isCritical = millis >= 5_000 && millis % 20 == 0;
      criticalCount +=
          isCritical && limiter.tryAcquire(RequestClass.CRITICAL, millis * NANOS_PER_MILLI) ? 1 : 0;
    }
    assertEquals(250, criticalCount, "50 per second fit into a limit of 100");
    assertTrue(criticalCount + otherCount <= 1_100, "passed " + (criticalCount + otherCount));
    assertTrue(criticalCount + otherCount >= 1_000, "passed " + (criticalCount + otherCount));
  }

  @Test
  void backgroundYieldsToInteractive() {
    int passedCount = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      boolean isSteadyState = millis >= 2_000;
      boolean passed = limiter.tryAcquire(RequestClass.BACKGROUND, millis * NANOS_PER_MILLI);
      passedCount += isSteadyState && passed ? 1 : 0;
      limiter.tryAcquire(RequestClass.INTERACTIVE, millis * NANOS_PER_MILLI);
    }
    assertEquals(0, passedCount);
  }

  @Test
  void retryAfterIsWhenTheNextRequestIsAdmitted() {
    while (limiter.tryAcquire(RequestClass.INTERACTIVE, 0)) {
      assertEquals(Duration.ZERO, limiter.retryAfter(RequestClass.CRITICAL, 0));
    }
    long retryAfterNanos = limiter.retryAfter(RequestClass.INTERACTIVE, 0).toNanos();
    assertFalse(limiter.tryAcquire(RequestClass.INTERACTIVE, retryAfterNanos - NANOS_PER_MILLI));
    assertTrue(limiter.tryAcquire(RequestClass.INTERACTIVE, retryAfterNanos + NANOS_PER_MILLI));
  }

  @Test
  void zeroRateAdmitsNothing() {
    LinkRateLimiter closed = LinkRateLimiter.of(0, 0);
    assertFalse(closed.tryAcquire(RequestClass.CRITICAL, Duration.ofHours(1).toNanos()));
  }
}
