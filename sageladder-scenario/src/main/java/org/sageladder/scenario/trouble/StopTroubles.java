package org.sageladder.scenario.trouble;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.standin.platform.StoreFaultMode;

/**
 * Planned stops of entry VMs in series that overlap, while some callers keep sending on connections
 * that they have opened before.
 */
final class StopTroubles {
  private static final long TROUBLE_MILLIS = 24_000;
  private static final long STORE_AWAY_MILLIS = 6_000;
  private static final int MIN_INTERVAL_MILLIS = 700;
  private static final int MAX_INTERVAL_MILLIS = 2_000;

  /** Time in which callers connect before a stop begins. */
  private static final long CONNECT_MILLIS = 100;

  /** The grace time of a planned stop, plus time for the following start. */
  private static final long STOP_MILLIS = 7_000;

  private static final int MAX_DELAY_MILLIS = 900;

  /** Bound on the time from a start to the stop that follows at once. */
  private static final int MAX_START_MILLIS = 60;

  /** Run times have a long tail: some last much longer than the mean. */
  private static final double LONG_RUN_FRACTION = 0.05;

  private static final double LONG_RUN_FACTOR = 3;
  private static final int MAX_GAP_MILLIS = 700;

  private StopTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("stops", (fleet, random) -> stopInSeries(fleet, random, StopTroubles::stop));
    all.put(
        "stops-of-slow-vms",
        (fleet, random) ->
            stopInSeries(
                fleet,
                random,
                (of, entry, each) -> {
                  slowDown(of, entry, each, of.nowMillis() + STOP_MILLIS);
                  stop(of, entry, each);
                }));
    all.put(
        "stops-after-start",
        (fleet, random) -> stopInSeries(fleet, random, StopTroubles::stopTwice));
    all.put("stop-of-all", StopTroubles::stopAll);
    all.put("stops-without-store", StopTroubles::stopWithoutStore);
  }

  /** A planned stop of one entry VM. */
  @FunctionalInterface
  private interface PlannedStop {
    void begin(Fleet fleet, FleetEntry entry, Random random);
  }

  private static void stopInSeries(Fleet fleet, Random random, PlannedStop stop) {
    fleet
        .runningTargets()
        .forEach(target -> target.process().setLongRuns(LONG_RUN_FRACTION, LONG_RUN_FACTOR));
    Set<FleetEntry> stopping = new HashSet<>();
    long atMillis = 0;
    while (atMillis < TROUBLE_MILLIS) {
      fleet.runAfter(
          atMillis,
          () -> {
            FleetEntry entry = Troubles.pickEntry(fleet, random);
            if (stopping.add(entry)) {
              fleet.runAfter(2 * STOP_MILLIS, () -> stopping.remove(entry));
              stop.begin(fleet, entry, random);
            }
          });
      atMillis += Troubles.randomMillis(random, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
    }
  }

  private static void stop(Fleet fleet, FleetEntry entry, Random random) {
    fleet.startPersistentCallers(entry, CONNECT_MILLIS, STOP_MILLIS, random.nextLong());
    fleet.runAfter(
        CONNECT_MILLIS,
        () -> {
          Troubles.recordPlanned(fleet, entry, STOP_MILLIS);
          entry.stopAndRestart();
        });
  }

  /** The second stop begins before the VM has read the store, or shortly after. */
  private static void stopTwice(Fleet fleet, FleetEntry entry, Random random) {
    entry.onNextStart(
        () -> {
          long delayMillis = Troubles.randomMillis(random, 1, MAX_START_MILLIS);
          fleet.runAfter(delayMillis, () -> stop(fleet, entry, random));
        });
    stop(fleet, entry, random);
  }

  /** A store that is away is no excuse for requests that are cut off. */
  private static void stopWithoutStore(Fleet fleet, Random random) {
    Troubles.recordSlowdown(fleet, STORE_AWAY_MILLIS);
    fleet.storePort().setFault(StoreFaultMode.SILENT, caller -> true);
    fleet.runAfter(
        STORE_AWAY_MILLIS, () -> fleet.storePort().setFault(StoreFaultMode.NONE, caller -> true));
    stopInSeries(fleet, random, StopTroubles::stop);
  }

  private static void stopAll(Fleet fleet, Random random) {
    for (FleetEntry entry : List.copyOf(fleet.entries())) {
      fleet.runAfter(random.nextInt(MAX_GAP_MILLIS), () -> stop(fleet, entry, random));
    }
  }

  /** The VM waits for its processor again and again. */
  private static void slowDown(Fleet fleet, FleetEntry entry, Random random, long untilMillis) {
    if (fleet.nowMillis() >= untilMillis) {
      return;
    }
    long delayMillis = Troubles.randomMillis(random, 1, MAX_DELAY_MILLIS);
    entry.suspend(delayMillis);
    long nextMillis = delayMillis + Troubles.randomMillis(random, 1, MAX_GAP_MILLIS);
    fleet.runAfter(nextMillis, () -> slowDown(fleet, entry, random, untilMillis));
  }
}
