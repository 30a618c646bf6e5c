package org.sageladder.scenario.trouble;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.sageladder.forward.control.ZoneChangeFeed;
import org.sageladder.scenario.Fleet;
import org.sageladder.scenario.FleetEntry;
import org.sageladder.standin.platform.StoreFaultMode;

/**
 * Troubles of single entry VMs that read the store for their zones, while targets leave. The other
 * VMs of these zones are not disturbed.
 */
final class ReaderTroubles {
  private static final long TROUBLE_MILLIS = 20_000;
  private static final int MIN_INTERVAL_MILLIS = 3_500;
  private static final int MAX_INTERVAL_MILLIS = 9_000;
  private static final int MIN_CUT_MILLIS = 500;
  private static final int MAX_CUT_MILLIS = 6_000;
  private static final int MIN_LEAVING_INTERVAL_MILLIS = 150;
  private static final int MAX_LEAVING_INTERVAL_MILLIS = 900;

  /** The grace time of a planned stop, plus time for the following start. */
  private static final long STOP_MILLIS = 7_000;

  /** How far the store's replicas are behind in troubles beside stale reads. */
  private static final long REPLICA_LAG_MILLIS = 5_500;

  /** Disturbs one reader. */
  @FunctionalInterface
  private interface Disturbance {
    void begin(Fleet fleet, FleetEntry reader, Random random);
  }

  private ReaderTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    put(all, "readers-killed", ReaderTroubles::kill);
    put(all, "readers-suspended", ReaderTroubles::suspend);
    put(all, "readers-stopped", ReaderTroubles::stop);
    put(all, "readers-cut-from-store", ReaderTroubles::cutFromStore);
    put(all, "readers-turned-away", ReaderTroubles::turnAway);
    put(all, "readers-watch-unanswered", ReaderTroubles::leaveWatchUnanswered);
    put(all, "readers-connections-silent", ReaderTroubles::silenceConnections);
  }

  /** Adds the same troubles with replicas of the store that are seconds behind. */
  static void addBesideStaleReadsTo(Map<String, Trouble> all) {
    Map<String, Trouble> troubles = new LinkedHashMap<>();
    addTo(troubles);
    troubles.forEach((name, trouble) -> all.put(name + "-stale-reads", besideStaleReads(trouble)));
  }

  private static Trouble besideStaleReads(Trouble trouble) {
    return (fleet, random) -> {
      fleet.storePort().setReplicaLag(() -> REPLICA_LAG_MILLIS);
      trouble.inject(fleet, random);
    };
  }

  private static void put(Map<String, Trouble> all, String name, Disturbance disturbance) {
    all.put(name, (fleet, random) -> inject(fleet, random, disturbance));
  }

  private static void inject(Fleet fleet, Random random, Disturbance disturbance) {
    for (String zone : zones(fleet)) {
      long at = random.nextInt(MAX_INTERVAL_MILLIS);
      while (at < TROUBLE_MILLIS) {
        fleet.runAfter(at, () -> disturbance.begin(fleet, reader(fleet, zone), random));
        at += Troubles.randomMillis(random, MIN_INTERVAL_MILLIS, MAX_INTERVAL_MILLIS);
      }
    }
    long at = 0;
    while (at < TROUBLE_MILLIS) {
      fleet.runAfter(at, () -> replaceTarget(fleet, random));
      at += Troubles.randomMillis(random, MIN_LEAVING_INTERVAL_MILLIS, MAX_LEAVING_INTERVAL_MILLIS);
    }
  }

  private static void replaceTarget(Fleet fleet, Random random) {
    TargetTroubles.pick(fleet, random, 1).stream()
        .findFirst()
        .ifPresent(target -> fleet.addColdTarget(target.service(), target.host().zone()));
    TargetTroubles.leave(fleet, random, 1, random.nextBoolean());
  }

  private static List<String> zones(Fleet fleet) {
    TreeSet<String> zones = new TreeSet<>();
    fleet.entries().forEach(entry -> zones.add(entry.host().zone()));
    return List.copyOf(zones);
  }

  private static FleetEntry reader(Fleet fleet, String zone) {
    List<FleetEntry> entries =
        fleet.entries().stream().filter(entry -> entry.host().zone().equals(zone)).toList();
    List<String> names = entries.stream().map(FleetEntry::name).toList();
    String chosen = ZoneChangeFeed.chooseReader(zone, names).orElseThrow();
    return entries.get(names.indexOf(chosen));
  }

  private static void kill(Fleet fleet, FleetEntry reader, Random random) {
    Troubles.recordAt(fleet, reader, 0);
    reader.kill();
  }

  private static void suspend(Fleet fleet, FleetEntry reader, Random random) {
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    Troubles.recordAt(fleet, reader, millis);
    reader.suspend(millis);
  }

  private static void stop(Fleet fleet, FleetEntry reader, Random random) {
    Troubles.recordPlanned(fleet, reader, STOP_MILLIS);
    reader.stopAndRestart();
  }

  private static void cutFromStore(Fleet fleet, FleetEntry reader, Random random) {
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    NetworkTroubles.cutFromStore(fleet, reader, millis);
  }

  /** The store refuses the calls of this VM alone, or leaves them unanswered. */
  private static void turnAway(Fleet fleet, FleetEntry reader, Random random) {
    refuse(fleet, reader, random, Troubles.pickOne(StoreTroubles.REFUSAL_MODES, random));
  }

  private static void leaveWatchUnanswered(Fleet fleet, FleetEntry reader, Random random) {
    refuse(fleet, reader, random, StoreFaultMode.SILENT_WATCHES);
  }

  private static void refuse(Fleet fleet, FleetEntry reader, Random random, StoreFaultMode mode) {
    long millis = Troubles.randomMillis(random, MIN_CUT_MILLIS, MAX_CUT_MILLIS);
    Troubles.recordAt(fleet, reader, millis);
    String ip = reader.host().ip();
    fleet.storePort().refuse(ip, mode);
    fleet.runAfter(millis, () -> fleet.storePort().acceptAgain(ip));
  }

  private static void silenceConnections(Fleet fleet, FleetEntry reader, Random random) {
    Troubles.recordAt(fleet, reader, 0);
    fleet.network().disruptConnections(reader.host(), random.nextDouble(), true);
  }
}
