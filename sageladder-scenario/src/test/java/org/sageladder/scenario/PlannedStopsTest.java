package org.sageladder.scenario;

import java.util.Collection;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against planned stops that cut off requests. */
class PlannedStopsTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> cutOffNoRequest() {
    return Troubles.plannedStops().keySet().stream()
        .flatMap(
            trouble ->
                Stream.of(Deployment.bookings(), Deployment.archive(), Deployment.stamps())
                    .flatMap(
                        each -> SeededTroubles.testsForSeeds(trouble, each, SEED_COUNT).stream()))
        .toList();
  }
}
