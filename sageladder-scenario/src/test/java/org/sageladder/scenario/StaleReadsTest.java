package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.core.event.EventKind;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.trouble.Troubles;

/** Guards against entry VMs that never see a target leave, or join, around their first read. */
class StaleReadsTest {
  private static final int SEED_COUNT = 6;
  private static final long TROUBLE_MILLIS = 22_000;
  private static final long CALM_MILLIS = 12_000;

  @TestFactory
  Collection<DynamicTest> allVmsKnowTheTargetsOfTheStore() {
    return LongStream.rangeClosed(1, SEED_COUNT)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> assertTargetsKnown(seed)))
        .toList();
  }

  @TestFactory
  Collection<DynamicTest> noRuleIsViolated() {
    return SeededTroubles.testsForSeeds("stale-pages", Deployment.auction(), SEED_COUNT);
  }

  private static void assertTargetsKnown(long seed) {
    Map<String, Set<String>> targetsByVm = new HashMap<>();
    LogSource logs =
        (vm, clock) ->
            (kind, request, contract, subject, revision, detail) -> {
              if (kind == EventKind.STARTED) {
                targetsByVm.put(vm, new HashSet<>());
              } else if (kind == EventKind.TARGET_HELD) {
                targetsByVm.get(vm).add("servers/" + subject);
              } else if (kind == EventKind.TARGET_LEAVING) {
                targetsByVm.get(vm).remove("servers/" + subject);
              }
            };
    Fleet fleet = Fleet.start(Deployment.auction(), seed, logs);
    Troubles.find("stale-pages").inject(fleet, new Random(seed));
    fleet.runFor(TROUBLE_MILLIS + CALM_MILLIS);
    Set<String> inStore = new TreeSet<>(fleet.store().keys("servers/"));
    targetsByVm.forEach((vm, targets) -> assertEquals(inStore, new TreeSet<>(targets), vm));
  }
}
