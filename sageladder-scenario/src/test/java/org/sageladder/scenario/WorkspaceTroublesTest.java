package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.Scenario.ScheduledTrouble;
import org.sageladder.scenario.trouble.Troubles;

/** Days with workspaces: keys stay here and are taken away in time, quotas hold, nobody starves. */
class WorkspaceTroublesTest {
  private static void assertRulesHold(Scenario scenario) {
    Scenario.Outcome outcome = scenario.run(Deployment.workspaces(), LogSource.none());
    assertEquals(List.of(), outcome.violations(), scenario.toString());
  }

  @TestFactory
  Collection<DynamicTest> workspaceTroublesAlone() {
    return Troubles.workspaceTroubles().keySet().stream()
        .flatMap(name -> Stream.of(1L, 2L, 3L, 4L).map(seed -> Scenario.of(seed, name)))
        .map(day -> DynamicTest.dynamicTest(day.toString(), () -> assertRulesHold(day)))
        .toList();
  }

  /** Each trouble of the system in the middle of one workspace's surge. */
  @TestFactory
  Collection<DynamicTest> troublesDuringASurge() {
    return Troubles.all().keySet().stream()
        .map(
            name ->
                DynamicTest.dynamicTest(
                    name,
                    () ->
                        assertRulesHold(
                            new Scenario(
                                5,
                                List.of(
                                    new ScheduledTrouble(5_000, "workspace-hot"),
                                    new ScheduledTrouble(7_000, name))))))
        .toList();
  }

  /** Guards against quotas that refuse what lies within them. */
  @Test
  void usualRequestsOfAllWorkspacesAreServed() {
    Scenario.Outcome outcome =
        Scenario.withoutTroubles(1).run(Deployment.workspaces(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.day().successFraction(0) > 0.98, "served " + outcome.day().successFraction(0));
  }
}
