package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/** Guards against queueing in a region with few slots while other regions are idle. */
class FewSlotsNearCallersTest {
  private static final long TRAFFIC_MILLIS = 20_000;

  /** Without a share per region, these days earned 0.548 and 0.537 of the possible credit. */
  @Test
  void callersOfRegionWithFewSlotsAreServedCrossRegion() {
    for (long seed = 1; seed <= 2; seed++) {
      Scenario.Outcome outcome =
          Scenario.withoutTroubles(seed)
              .runFor(TRAFFIC_MILLIS, Deployment.bookings(), LogSource.none());
      assertEquals(List.of(), outcome.violations());
      assertTrue(
          outcome.day().creditFraction() > 0.57,
          "credit fraction " + outcome.day().creditFraction());
    }
  }
}
