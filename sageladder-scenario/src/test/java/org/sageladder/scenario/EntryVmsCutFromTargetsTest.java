package org.sageladder.scenario;

import java.util.Collection;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against refusals at entry VMs that reach no target while other entry VMs reach them. */
class EntryVmsCutFromTargetsTest {
  private static final int SEED_COUNT = 2;

  @TestFactory
  Collection<DynamicTest> serveTheirCallers() {
    return Troubles.targetCuts().keySet().stream()
        .flatMap(
            trouble ->
                Stream.of(Deployment.stamps(), Deployment.archive(), Deployment.bookings())
                    .flatMap(
                        each -> SeededTroubles.testsForSeeds(trouble, each, SEED_COUNT).stream()))
        .toList();
  }
}
