package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.sageladder.scenario.Fleet.LogSource;

/** Creates tests of days with a single trouble, on which no rule may be violated. */
final class SeededTroubles {
  private SeededTroubles() {}

  /** One test for each seed from 1 to {@code seeds}. */
  static Collection<DynamicTest> testsForSeeds(String trouble, Deployment deployment, int seeds) {
    return LongStream.rangeClosed(1, seeds)
        .mapToObj(seed -> testForSeed(trouble, deployment, seed))
        .toList();
  }

  /** The test of one seed. */
  static DynamicTest testForSeed(String trouble, Deployment deployment, long seed) {
    return DynamicTest.dynamicTest(
        trouble + ", seed " + seed, () -> assertRulesHold(seed, trouble, deployment));
  }

  private static void assertRulesHold(long seed, String trouble, Deployment deployment) {
    Scenario scenario = Scenario.of(seed, trouble);
    assertEquals(List.of(), scenario.run(deployment, LogSource.none()).violations());
  }
}
