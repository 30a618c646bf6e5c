package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RateHistoryTest {
  private static final int GAIN_LIMIT = 40;
  private static final int WINDOW_COUNT = 6;
  private static final long STEP_NANOS = Duration.ofSeconds(1).toNanos();

  @Test
  void wholeGainIsUsedInEachWindowUnderFullDemand() {
    // A service starts cold under more demand than its cap admits and uses the gain of a window in
    // the first eight steps. Guards against a pace limit that starts each window at the rate at
    // which the one before began: each window then lost part of its gain, and reaching full load
    // took longer than the cap requires.
    RateHistory history =
        RateHistory.create(Duration.ofNanos(STEP_NANOS * RateHistory.STEPS_PER_WINDOW), 0);
    for (int window = 1; window <= WINDOW_COUNT; window++) {
      for (int step = 0; step < RateHistory.STEPS_PER_WINDOW; step++) {
        history.advanceTo(((long) (window - 1) * RateHistory.STEPS_PER_WINDOW + step) * STEP_NANOS);
        fillStep(history);
        assertTrue(
            history.windowCount() - history.previousWindowCount() <= GAIN_LIMIT,
            "window " + window + " step " + step);
      }
      assertEquals(window * GAIN_LIMIT, history.windowCount(), "requests of window " + window);
    }
  }

  @Test
  void oneStepCannotUseAWholeWindowsGain() {
    RateHistory history =
        RateHistory.create(Duration.ofNanos(STEP_NANOS * RateHistory.STEPS_PER_WINDOW), 0);
    fillStep(history);
    assertEquals(GAIN_LIMIT / 8, history.intervalCount());
  }

  private static void fillStep(RateHistory history) {
    int limit =
        RateHistory.paceLimit(
            history.previousWindowCount(), history.intervalCountOneWindowAgo(), GAIN_LIMIT);
    while (history.maxProjectedGrowth() < GAIN_LIMIT && history.intervalCount() < limit) {
      history.recordAdmission();
    }
  }
}
