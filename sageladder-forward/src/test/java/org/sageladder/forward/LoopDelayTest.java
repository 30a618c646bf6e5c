package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventKind;

/** Measuring how late the event loop runs. */
class LoopDelayTest {
  private static final long INTERVAL_MILLIS = 250;

  private final List<EventKind> lines = new ArrayList<>();
  private final LoopDelay delay =
      new LoopDelay(
          (kind, request, contract, subject, revision, detail) -> lines.add(kind),
          new Metrics(),
          INTERVAL_MILLIS,
          0);

  @Test
  void punctualRunsHaveNoDelay() {
    for (long at = INTERVAL_MILLIS; at < 40_000; at += INTERVAL_MILLIS) {
      delay.recordRun(at);
    }
    assertEquals(0, delay.recentMaxMillis());
    assertEquals(List.of(), lines);
  }

  @Test
  void longDelayIsLoggedAndForgottenAfterTwentySeconds() {
    delay.recordRun(INTERVAL_MILLIS + 700);
    assertEquals(700, delay.recentMaxMillis());
    assertEquals(List.of(EventKind.LOOP_DELAYED), lines);
    long at = INTERVAL_MILLIS + 700;
    while (at < 10_500) {
      at += INTERVAL_MILLIS;
      delay.recordRun(at);
    }
    assertEquals(700, delay.recentMaxMillis());
    while (at < 21_000) {
      at += INTERVAL_MILLIS;
      delay.recordRun(at);
    }
    assertEquals(0, delay.recentMaxMillis());
  }
}
