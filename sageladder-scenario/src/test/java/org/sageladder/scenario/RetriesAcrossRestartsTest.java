package org.sageladder.scenario;

import java.util.Collection;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against restarted entry VMs that spend the fleet's retry budget once more. */
class RetriesAcrossRestartsTest {
  private static final int SEED_COUNT = 3;

  @TestFactory
  Collection<DynamicTest> stayWithinTheBudget() {
    return Troubles.restartTroubles().keySet().stream()
        .flatMap(
            trouble ->
                Stream.of(Deployment.archive(), Deployment.stamps(), Deployment.auction())
                    .flatMap(
                        each -> SeededTroubles.testsForSeeds(trouble, each, SEED_COUNT).stream()))
        .toList();
  }
}
