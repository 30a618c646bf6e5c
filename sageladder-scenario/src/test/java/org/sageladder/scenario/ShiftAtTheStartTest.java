package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/** Guards against an overloaded region shifting its traffic abruptly when traffic starts. */
class ShiftAtTheStartTest {
  private static final long TRAFFIC_MILLIS = 8_000;

  @Test
  void overloadedRegionShiftsSlowlyFromTheStart() {
    Scenario.Outcome outcome =
        Scenario.withoutTroubles(1).runFor(TRAFFIC_MILLIS, Deployment.grown(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
  }
}
