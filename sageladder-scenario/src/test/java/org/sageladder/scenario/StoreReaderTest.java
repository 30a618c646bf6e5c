package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.core.event.EventKind;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.trouble.Troubles;

/** Days on which one VM per zone reads the store for the others, which saves most store calls. */
class StoreReaderTest {
  private static final int VM_COUNT = 24;
  private static final int ZONE_COUNT = 6;

  @TestFactory
  Collection<DynamicTest> eachTroubleAlone() {
    return Troubles.all().keySet().stream()
        .map(name -> DynamicTest.dynamicTest(name, () -> assertRulesHold(Scenario.of(2, name))))
        .toList();
  }

  @TestFactory
  Collection<DynamicTest> randomTroubles() {
    return java.util.stream.LongStream.rangeClosed(101, 110)
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> assertRulesHold(Scenario.random(seed))))
        .toList();
  }

  /** Guards against a reader that reloads everything from the store but does not propagate it. */
  @Test
  void changeInLostHistoryIsInForceAtAllVms() {
    Map<String, Long> inForce = new HashMap<>();
    LogSource logs =
        (vm, clock) ->
            (kind, request, contract, subject, revision, detail) -> {
              if (kind == EventKind.CONTRACT_IN_FORCE) {
                inForce.put(vm, revision);
              }
            };
    Fleet fleet = Fleet.start(Deployment.relayed(), 1, logs);
    fleet.runFor(2_000);
    fleet.store().stallWatches();
    fleet.writeConfiguration(fleet.routes());
    fleet.runFor(300);
    fleet.store().compactHistory();
    fleet.store().abortWatches();
    fleet.runFor(fleet.day().bounds().configurationApplyMillis());
    assertEquals(VM_COUNT, inForce.size());
    assertEquals(1, Set.copyOf(inForce.values()).size(), inForce.toString());
  }

  private static void assertRulesHold(Scenario scenario) {
    Scenario.Outcome outcome = scenario.run(Deployment.relayed(), LogSource.none());
    assertEquals(List.of(), outcome.violations(), scenario.toString());
  }

  /** Guards against a number of store calls that grows with the number of VMs in a zone. */
  @Test
  void onlyReadersWatchTheStore() {
    Fleet fleet = Fleet.start(Deployment.relayed(), 1, LogSource.none());
    int before = fleet.storePort().callCount("/kv-watch");
    for (int i = 0; i < 10; i++) {
      fleet.writeConfiguration(fleet.routes());
      fleet.runFor(3_000);
    }
    int watches = fleet.storePort().callCount("/kv-watch") - before;
    assertTrue(watches <= 30 * ZONE_COUNT, watches + " watches, " + VM_COUNT + " VMs");
  }
}
