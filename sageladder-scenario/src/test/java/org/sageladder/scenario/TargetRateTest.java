package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.Scenario.Strike;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against a target that gets more than the request rate stated in its answers. */
class TargetRateTest {
  private static final int SEED_COUNT = 4;
  private static final List<Long> TROUBLE_SEEDS = List.of(5L, 6L);

  @TestFactory
  Collection<DynamicTest> stampsTargetsGetNoMoreThanTheirStatedRate() {
    return SeededTroubles.testsForSeeds("targets-limited", Deployment.stamps(), SEED_COUNT);
  }

  @TestFactory
  Collection<DynamicTest> archiveTargetsGetNoMoreThanTheirStatedRate() {
    return SeededTroubles.testsForSeeds("targets-limited", Deployment.archive(), SEED_COUNT);
  }

  /** Each trouble of the system while targets state a rate. */
  @TestFactory
  Collection<DynamicTest> troublesWhileTargetsStateARate() {
    return TROUBLE_SEEDS.stream()
        .flatMap(seed -> Troubles.all().keySet().stream().map(name -> during(seed, name)))
        .filter(day -> !day.equals(TargetRateWhileTargetsStartAgainTest.DAY))
        .map(day -> DynamicTest.dynamicTest(day.toString(), () -> assertRulesHold(day)))
        .toList();
  }

  /** A day on which targets state a rate and another trouble follows. */
  static Scenario during(long seed, String trouble) {
    return new Scenario(
        seed, List.of(new Strike(5_000, "targets-limited"), new Strike(8_000, trouble)));
  }

  static void assertRulesHold(Scenario scenario) {
    Scenario.Outcome outcome = scenario.run(Deployment.stamps(), LogSource.none());
    assertEquals(List.of(), outcome.violations(), scenario.toString());
  }
}
