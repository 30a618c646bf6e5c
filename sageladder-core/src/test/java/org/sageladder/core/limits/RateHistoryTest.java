package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RateHistoryTest {
  private static final int UNITS = 40;
  private static final int WINDOWS = 6;
  private static final long STEP = Duration.ofSeconds(1).toNanos();

  @Test
  void placeUnderFullDemandUsesItsWholeGainInEachWindow() {
    // A service starts cold under more demand than its cap lets in. It uses the gain of a window
    // in the first eight steps; the pace of the next window once began at that of the one before,
    // so each window lost a part of its gain and the climb to full load took longer than the cap.
    RateHistory history = RateHistory.create(Duration.ofNanos(STEP * RateHistory.STEPS), 0);
    for (int window = 1; window <= WINDOWS; window++) {
      for (int step = 0; step < RateHistory.STEPS; step++) {
        history.rollTo(((long) (window - 1) * RateHistory.STEPS + step) * STEP);
        fillStep(history);
        assertTrue(
            history.recent() - history.before() <= UNITS, "window " + window + " step " + step);
      }
      assertEquals(window * UNITS, history.recent(), "requests of window " + window);
    }
  }

  @Test
  void noStepTakesAWholeWindowsGain() {
    RateHistory history = RateHistory.create(Duration.ofNanos(STEP * RateHistory.STEPS), 0);
    fillStep(history);
    assertEquals(UNITS / 8, history.inPart());
  }

  private static void fillStep(RateHistory history) {
    int limit = RateHistory.paceLimit(history.before(), history.windowAgo(), UNITS);
    while (history.worstGrowth() < UNITS && history.inPart() < limit) {
      history.add();
    }
  }
}
