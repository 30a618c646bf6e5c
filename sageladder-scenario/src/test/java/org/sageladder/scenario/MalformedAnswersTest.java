package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against answers with a malformed head that reach callers. */
class MalformedAnswersTest {
  private static final long TRAFFIC_MILLIS = 14_000;

  @TestFactory
  Collection<DynamicTest> callersGetNoMalformedAnswer() {
    return Troubles.malformedAnswers().keySet().stream()
        .map(name -> DynamicTest.dynamicTest(name, () -> assertRulesHold(Scenario.of(1, name))))
        .toList();
  }

  private static void assertRulesHold(Scenario scenario) {
    Scenario.Outcome outcome =
        scenario.runFor(TRAFFIC_MILLIS, Deployment.listing(), LogSource.none());
    assertEquals(List.of(), outcome.violations(), scenario.toString());
  }
}
