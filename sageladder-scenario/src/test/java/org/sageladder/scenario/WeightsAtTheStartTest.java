package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.Scenario.Strike;

/**
 * Guards against an overloaded region shifting its traffic abruptly when weights change just after
 * traffic starts.
 */
class WeightsAtTheStartTest {
  private static final long TRAFFIC_MILLIS = 8_000;
  private static final long CHANGED_AT_MILLIS = 400;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void overloadedRegionShiftsSlowlyWhileWeightsChange(long seed) {
    Scenario scenario =
        new Scenario(seed, List.of(new Strike(CHANGED_AT_MILLIS, "weights-changed")));
    Scenario.Outcome outcome =
        scenario.runFor(TRAFFIC_MILLIS, Deployment.grown(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
  }
}
