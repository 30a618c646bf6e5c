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
    // A service starts cold under more demand than its cap lets in. It uses the gain of a window
    // in the first eight steps; the pace of the next window once began at that of the one before,
    // so each window lost a part of its gain and the climb to full load took longer than the cap.
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
