package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;

/** Troubles of entry VMs. */
final class EntryTroubles {
  private static final long POWER_LOSS_MILLIS = 1_200;

  /** The grace time of a planned stop, plus time for the following start. */
  private static final long STOP_MILLIS = 7_000;

  private EntryTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("entry-killed", (fleet, random) -> kill(fleet, random, 1));
    all.put("entries-killed", (fleet, random) -> kill(fleet, random, fleet.entries().size() - 1));
    all.put("all-power-lost", EntryTroubles::powerOffAll);
    all.put("entry-suspended", EntryTroubles::suspend);
    all.put("entries-restarted", EntryTroubles::restartAll);
  }

  private static void kill(Fleet fleet, Random random, int count) {
    for (FleetEntry entry : Troubles.pickEntries(fleet, random, count)) {
      Troubles.recordAt(fleet, entry, 0);
      entry.kill();
    }
  }

  private static void powerOffAll(Fleet fleet, Random random) {
    for (FleetEntry entry : fleet.entries()) {
      Troubles.recordAt(fleet, entry, POWER_LOSS_MILLIS);
      entry.powerOff(POWER_LOSS_MILLIS);
    }
  }

  private static void suspend(Fleet fleet, Random random) {
    FleetEntry entry = Troubles.pickEntry(fleet, random);
    long millis = Troubles.randomMillis(random, 500, 4_500);
    Troubles.recordAt(fleet, entry, millis);
    entry.suspend(millis);
  }

  /** A rolling restart: each entry VM in turn is stopped gracefully and restarted. */
  private static void restartAll(Fleet fleet, Random random) {
    long gapMillis = Troubles.randomMillis(random, 2_000, 5_000);
    long atMillis = 0;
    for (FleetEntry entry : fleet.entries()) {
      fleet.runAfter(
          atMillis,
          () -> {
            Troubles.recordPlanned(fleet, entry, STOP_MILLIS);
            entry.stopAndRestart();
          });
      atMillis += gapMillis;
    }
  }
}
