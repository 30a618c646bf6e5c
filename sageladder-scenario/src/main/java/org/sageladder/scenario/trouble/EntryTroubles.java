package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;

/** What happens to entry VMs. */
final class EntryTroubles {
  private static final long DARK_MILLIS = 1_200;

  /** A planned stop's grace time, and a while for the start that follows. */
  private static final long STOP_MILLIS = 7_000;

  private EntryTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("entry-killed", (fleet, random) -> kill(fleet, random, 1));
    all.put("entries-killed", (fleet, random) -> kill(fleet, random, fleet.entries().size() - 1));
    all.put("all-power-lost", EntryTroubles::allDark);
    all.put("entry-suspended", EntryTroubles::suspend);
    all.put("entries-restarted", EntryTroubles::restartAll);
  }

  private static void kill(Fleet fleet, Random random, int count) {
    for (FleetEntry entry : Troubles.pick(fleet, random, count)) {
      Troubles.noteAt(fleet, entry, 0);
      entry.kill();
    }
  }

  private static void allDark(Fleet fleet, Random random) {
    for (FleetEntry entry : fleet.entries()) {
      Troubles.noteAt(fleet, entry, DARK_MILLIS);
      entry.powerOff(DARK_MILLIS);
    }
  }

  private static void suspend(Fleet fleet, Random random) {
    FleetEntry entry = Troubles.pickOne(fleet, random);
    long millis = Troubles.between(random, 500, 4_500);
    Troubles.noteAt(fleet, entry, millis);
    entry.suspend(millis);
  }

  /** All are stopped as planned and started again, one after the other. */
  private static void restartAll(Fleet fleet, Random random) {
    long gap = Troubles.between(random, 2_000, 5_000);
    long at = 0;
    for (FleetEntry entry : fleet.entries()) {
      fleet.after(
          at,
          () -> {
            Troubles.notePlanned(fleet, entry, STOP_MILLIS);
            entry.stopAndRestart();
          });
      at += gap;
    }
  }
}
