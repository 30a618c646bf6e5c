package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.RequestClass;

class LinkRateLimiterTest {
  private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

  private final LinkRateLimiter share = LinkRateLimiter.of(100, 0);

  @Test
  void criticalRequestsPassASaturatedLink() {
    // Overnight pulls and a rush of browsing fill a link far beyond its limit; then a lot closes
    // and bids come from the same region. They must not queue behind what can wait.
    int critical = 0;
    int others = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      others += share.tryAcquire(RequestClass.BACKGROUND, milli * NANOS_PER_MILLI) ? 1 : 0;
      others += share.tryAcquire(RequestClass.INTERACTIVE, milli * NANOS_PER_MILLI) ? 1 : 0;
      boolean bid = milli >= 5_000 && milli % 20 == 0;
      critical += bid && share.tryAcquire(RequestClass.CRITICAL, milli * NANOS_PER_MILLI) ? 1 : 0;
    }
    assertEquals(250, critical, "50 a second fit into a limit of 100");
    assertTrue(critical + others <= 1_100, "passed " + (critical + others));
    assertTrue(critical + others >= 1_000, "passed " + (critical + others));
  }

  @Test
  void backgroundYieldsToInteractive() {
    int background = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      boolean late = milli >= 2_000;
      boolean passed = share.tryAcquire(RequestClass.BACKGROUND, milli * NANOS_PER_MILLI);
      background += late && passed ? 1 : 0;
      share.tryAcquire(RequestClass.INTERACTIVE, milli * NANOS_PER_MILLI);
    }
    assertEquals(0, background);
  }

  @Test
  void retryAfterIsWhenTheNextRequestIsAdmitted() {
    while (share.tryAcquire(RequestClass.INTERACTIVE, 0)) {
      assertEquals(Duration.ZERO, share.retryAfter(RequestClass.CRITICAL, 0));
    }
    long hint = share.retryAfter(RequestClass.INTERACTIVE, 0).toNanos();
    assertFalse(share.tryAcquire(RequestClass.INTERACTIVE, hint - NANOS_PER_MILLI));
    assertTrue(share.tryAcquire(RequestClass.INTERACTIVE, hint + NANOS_PER_MILLI));
  }

  @Test
  void zeroRateAdmitsNothing() {
    LinkRateLimiter closed = LinkRateLimiter.of(0, 0);
    assertFalse(closed.tryAcquire(RequestClass.CRITICAL, Duration.ofHours(1).toNanos()));
  }
}
