package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Which requests a forwarder that is being shut down may still send on. */
class ShutdownPermissionTest {
  private static final long HOUR_MILLIS = 3_600_000;

  private final Loop loop = Loop.start();
  private final Shutdown shutdown = new Shutdown(loop);
  private final long signalMillis = loop.nowMillis();

  @AfterEach
  void stop() {
    loop.close();
  }

  @Test
  void everythingIsPermittedBeforeTheShutdown() {
    assertTrue(shutdown.permits(false, signalMillis, 2 * HOUR_MILLIS));
    assertTrue(shutdown.permits(2 * HOUR_MILLIS, 2 * HOUR_MILLIS));
  }

  @Test
  void requestAfterTheSignalMustHaveItsDeadlineBeforeTheEnd() {
    shutdown.begin(signalMillis, signalMillis + HOUR_MILLIS);
    assertTrue(shutdown.permits(true, signalMillis, HOUR_MILLIS / 2));
    assertFalse(shutdown.permits(true, signalMillis, 2 * HOUR_MILLIS));
  }

  @Test
  void requestThatMustNotRunTwiceNeedsItsDeadlineBeforeTheEndWheneverItCame() {
    shutdown.begin(signalMillis, signalMillis + HOUR_MILLIS);
    assertTrue(shutdown.permits(false, signalMillis - 1, HOUR_MILLIS / 2));
    assertFalse(shutdown.permits(false, signalMillis - 1, 2 * HOUR_MILLIS));
  }

  @Test
  void idempotentRequestFromBeforeTheSignalGoesByItsEstimate() {
    shutdown.begin(signalMillis, signalMillis + HOUR_MILLIS);
    assertTrue(shutdown.permits(true, signalMillis - 1, 2 * HOUR_MILLIS));
    assertTrue(shutdown.permits(2 * HOUR_MILLIS, HOUR_MILLIS / 4));
    assertFalse(shutdown.permits(2 * HOUR_MILLIS, HOUR_MILLIS));
  }
}
