package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/** Guards against queues in a region of few slots while other regions stand idle. */
class FewSlotsNearCallersTest {
  private static final long TRAFFIC_MILLIS = 20_000;

  /** Without a share for each region these days earned 0.548 and 0.537 of their worth. */
  @Test
  void callersOfRegionWithFewSlotsAreServedCrossRegion() {
    for (long seed = 1; seed <= 2; seed++) {
      Scenario.Outcome outcome =
          Scenario.withoutTroubles(seed)
              .runFor(TRAFFIC_MILLIS, Deployment.bookings(), LogSource.none());
      assertEquals(List.of(), outcome.violations());
      assertTrue(outcome.day().creditFraction() > 0.57, "worth " + outcome.day().creditFraction());
    }
  }
}
