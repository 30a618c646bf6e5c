package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.sageladder.scenario.Fleet.LogSource;

/** Days with one trouble, on which no rule may break. */
final class SeededTroubleTests {
  private SeededTroubleTests() {}

  /** The days of seeds 1 to {@code seeds}, a test each. */
  static Collection<DynamicTest> assertRulesHold(String trouble, Deployment deployment, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertRulesHoldFor(seed, trouble, deployment)))
        .toList();
  }

  private static void assertRulesHoldFor(long seed, String trouble, Deployment deployment) {
    Scenario scenario = Scenario.of(seed, trouble);
    assertEquals(List.of(), scenario.run(deployment, LogSource.none()).violations());
  }
}
