package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/** Guards against a crowded region's requests moving at once in the first seconds of traffic. */
class ShiftAtTheStartTest {
  private static final long MILLIS = 8_000;

  @Test
  void requestsOfACrowdedRegionMoveSlowlyFromTheFirstSecondsOn() {
    Scenario.Outcome outcome =
        Scenario.withoutTroubles(1).runFor(MILLIS, Deployment.grown(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
  }
}
