package org.sageladder.scenario.trouble;

import java.util.Map;
import java.util.Random;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;

/** Entry VMs that start while the pages of a stale read come from replicas of different ages. */
final class StaleReadTroubles {
  private static final int PAGE_ITEMS = 8;
  private static final int MAX_LAG_MILLIS = 3_000;
  private static final long TROUBLE_MILLIS = 20_000;
  private static final long INTERVAL_MILLIS = 2_500;
  private static final int MAX_REMOVAL_DELAY_MILLIS = 2_000;

  /** Time for which a restarted VM is excused, until it has read the store. */
  private static final long RESTART_MILLIS = 7_000;

  private StaleReadTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("stale-pages", StaleReadTroubles::restartBesideRemovals);
  }

  /** Targets leave without announcing it, and join, around the first read of VMs that restart. */
  private static void restartBesideRemovals(Fleet fleet, Random random) {
    fleet.store().limitPages(PAGE_ITEMS);
    fleet
        .storePort()
        .setReplicaLag(() -> random.nextBoolean() ? 0 : random.nextInt(MAX_LAG_MILLIS));
    for (long at = 0; at < TROUBLE_MILLIS; at += INTERVAL_MILLIS) {
      fleet.runAfter(at, () -> restartOne(fleet, random));
      fleet.runAfter(
          at + random.nextInt(MAX_REMOVAL_DELAY_MILLIS),
          () -> TargetTroubles.leave(fleet, random, 1, false));
    }
  }

  private static void restartOne(Fleet fleet, Random random) {
    FleetEntry entry = Troubles.pickEntry(fleet, random);
    Troubles.recordPlanned(fleet, entry, RESTART_MILLIS);
    entry.stopAndRestart();
  }
}
