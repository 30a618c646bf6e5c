package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.Scenario.Outcome;
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

  /** Guards against a relayed request that goes to another service than the one chosen first. */
  @Test
  void relayedRequestsStayAtTheirServiceWhileWeightsChange() {
    Scenario scenario = Scenario.random(99);
    Outcome outcome = scenario.run(Deployment.forSeed(99), LogSource.none());
    assertEquals(List.of(), outcome.violations());
  }

  /** Guards against refusals for seconds at a VM whose peers were unreachable while restarting. */
  @Test
  void requestsAreRelayedAgainOnceAllPeersHaveRestarted() {
    Outcome outcome = Scenario.random(3).run(Deployment.bookings(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
  }
}
