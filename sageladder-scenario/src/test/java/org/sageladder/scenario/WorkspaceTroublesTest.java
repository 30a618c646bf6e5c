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

/**
 * Days with workspaces: keys are not forwarded and are revoked in time, quotas hold, and no
 * workspace is starved.
 */
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

  /** Each trouble of the system while one workspace sends a surge of requests. */
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
                                    new Strike(5_000, "workspace-hot"), new Strike(7_000, name))))))
        .toList();
  }

  /** Guards against a coordinator that is cut off or suspended while a surge grows. */
  @TestFactory
  Collection<DynamicTest> coordinatorsFailWhileASurgeGrows() {
    return Stream.of("zone-cut", "one-way", "entry-suspended")
        .flatMap(
            name ->
                Stream.of(5_200L, 6_200L, 6_700L)
                    .flatMap(
                        strikeMillis ->
                            Stream.of(1L, 2L, 3L)
                                .map(
                                    seed ->
                                        new Scenario(
                                            seed,
                                            List.of(
                                                new Strike(5_000, "workspace-hot"),
                                                new Strike(strikeMillis, name))))))
        .map(day -> DynamicTest.dynamicTest(day.toString(), () -> assertRulesHold(day)))
        .toList();
  }

  /** Guards against quotas that refuse requests within the quota. */
  @Test
  void usualRequestsOfAllWorkspacesAreServed() {
    Scenario.Outcome outcome =
        Scenario.withoutTroubles(1).run(Deployment.workspaces(), LogSource.none());
    assertEquals(List.of(), outcome.violations());
    assertTrue(
        outcome.day().successFraction(0) > 0.98,
        "success fraction " + outcome.day().successFraction(0));
  }
}
