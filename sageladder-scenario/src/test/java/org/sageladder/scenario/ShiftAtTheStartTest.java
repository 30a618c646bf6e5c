package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.scenario.Fleet.LogSource;

/**
 * Traffic starts at once on eighty-five entry VMs; Riga has a tenth of the slots for a third of it.
 *
 * <p>In the first half second most of Riga's requests ran there, two seconds later one in five:
 * more than a quarter of them changed their region from the first two seconds to the next two,
 * where 15 in 100 are allowed. All targets had registered after the VMs' first look at the list and
 * counted as newcomers, so that each VM introduced each of its region's targets with a request.
 */
class ShiftAtTheStartTest {
  private static final long MILLIS = 8_000;

  @Test
  void requestsOfACrowdedRegionMoveSlowlyFromTheFirstSecondsOn() {
    Scenario.Outcome outcome =
        Scenario.calm(1).playFor(MILLIS, Deployment.grown(), LogSource.none());
    assertEquals(List.of(), outcome.broken());
  }
}
