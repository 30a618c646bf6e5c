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
import org.sageladder.scenario.Scenario.Strike;
import org.sageladder.scenario.trouble.Troubles;

/** Days with workspaces: keys stay here and are taken away in time, quotas hold, nobody starves. */
class WorkspaceDaysTest {
  private static void keeps(Scenario scenario) {
    Scenario.Outcome outcome = scenario.play(Deployment.workspaces(), LogSource.none());
    assertEquals(List.of(), outcome.broken(), scenario.toString());
  }

  @TestFactory
  Collection<DynamicTest> workspaceTroublesAlone() {
    return Troubles.ofWorkspaces().keySet().stream()
        .flatMap(name -> Stream.of(1L, 2L, 3L, 4L).map(seed -> Scenario.of(seed, name)))
        .map(day -> DynamicTest.dynamicTest(day.toString(), () -> keeps(day)))
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
                        keeps(
                            new Scenario(
                                5,
                                List.of(
                                    new Strike(5_000, "workspace-hot"), new Strike(7_000, name))))))
        .toList();
  }

  /** Guards against quotas that refuse what lies within them. */
  @Test
  void usualRequestsOfAllWorkspacesAreServed() {
    Scenario.Outcome outcome = Scenario.calm(1).play(Deployment.workspaces(), LogSource.none());
    assertEquals(List.of(), outcome.broken());
    assertTrue(outcome.day().served(0) > 0.98, "served " + outcome.day().served(0));
  }
}
