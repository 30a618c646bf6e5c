package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.scenario.trouble.Troubles;

/** Zones in which one VM reads the store for the others: every rule holds, with far fewer calls. */
class StoreReaderDayTest {
  private static final int VMS = 24;
  private static final int ZONES = 6;

  @TestFactory
  Collection<DynamicTest> eachTroubleAlone() {
    return Troubles.all().keySet().stream()
        .map(name -> DynamicTest.dynamicTest(name, () -> keeps(Scenario.of(2, name))))
        .toList();
  }

  @TestFactory
  Collection<DynamicTest> drawnDays() {
    return java.util.stream.LongStream.rangeClosed(101, 110)
        .mapToObj(
            seed -> DynamicTest.dynamicTest("seed " + seed, () -> keeps(Scenario.drawn(seed))))
        .toList();
  }

  private static void keeps(Scenario scenario) {
    Scenario.Outcome outcome = scenario.play(Deployment.relayed(), LogSource.none());
    assertEquals(List.of(), outcome.broken(), scenario.toString());
  }

  /** Guards against calls that grow with the VMs of a zone. */
  @Test
  void watchesAreThoseOfTheReaders() {
    Fleet fleet = Fleet.start(Deployment.relayed(), 1, LogSource.none());
    int before = fleet.storePort().calls("/kv-watch");
    for (int i = 0; i < 10; i++) {
      fleet.configure(fleet.routes());
      fleet.runFor(3_000);
    }
    int watches = fleet.storePort().calls("/kv-watch") - before;
    assertTrue(watches <= 30 * ZONES, watches + " watches, " + VMS + " VMs");
  }
}
