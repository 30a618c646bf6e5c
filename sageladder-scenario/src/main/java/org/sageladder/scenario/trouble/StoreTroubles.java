package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.StoreTrouble;

/** What happens to the platform's store. */
final class StoreTroubles {
  private static final int SHORTEST = 2_000;
  private static final int LONGEST = 10_000;
  private static final long LEASES_END_AFTER_MILLIS = 1_500;
  private static final int TURNED_AWAY = 2;
  private static final long DEAF_MILLIS = 1_000;
  private static final List<StoreTrouble> WAYS_TO_TURN_AWAY =
      List.of(StoreTrouble.BUSY, StoreTrouble.TOO_MANY, StoreTrouble.RESETS, StoreTrouble.SILENT);

  private StoreTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    put(all, "store-busy", StoreTrouble.BUSY);
    put(all, "store-too-many", StoreTrouble.TOO_MANY);
    put(all, "store-resets", StoreTrouble.RESETS);
    put(all, "store-silent", StoreTrouble.SILENT);
    put(all, "store-loses-answers", StoreTrouble.LOSES_ANSWERS);
    put(all, "store-writes-late", StoreTrouble.LATE_WRITES);
    put(all, "store-slow", StoreTrouble.SLOW);
    all.put("store-silent-leases-end", StoreTroubles::silentAndLeasesEnd);
    all.put("store-turns-some-away", StoreTroubles::turnSomeAway);
    all.put("store-forgets", StoreTroubles::forget);
  }

  private static void put(Map<String, Trouble> all, String name, StoreTrouble kind) {
    all.put(name, (fleet, random) -> trouble(fleet, random, kind, caller -> true));
  }

  private static void trouble(
      Fleet fleet, Random random, StoreTrouble kind, Predicate<String> hits) {
    long millis = Troubles.between(random, SHORTEST, LONGEST);
    Troubles.noteEverywhere(fleet, millis);
    fleet.storePort().trouble(kind, hits);
    fleet.after(
        millis,
        () -> {
          fleet.store().pauseLeases();
          fleet.storePort().well();
        });
  }

  private static void silentAndLeasesEnd(Fleet fleet, Random random) {
    trouble(fleet, random, StoreTrouble.SILENT, caller -> true);
    fleet.after(LEASES_END_AFTER_MILLIS, () -> fleet.store().endAllLeases());
  }

  private static void turnSomeAway(Fleet fleet, Random random) {
    StoreTrouble kind = WAYS_TO_TURN_AWAY.get(random.nextInt(WAYS_TO_TURN_AWAY.size()));
    List<String> hit =
        Troubles.pick(fleet, random, TURNED_AWAY).stream().map(entry -> entry.host().ip()).toList();
    trouble(fleet, random, kind, hit::contains);
  }

  /** Watches hear nothing while a target leaves; then the history is gone and they are cut. */
  private static void forget(Fleet fleet, Random random) {
    Troubles.noteEverywhere(fleet, DEAF_MILLIS);
    fleet.store().deafenWatches();
    TargetTroubles.leave(fleet, random, 1, true);
    fleet.after(
        DEAF_MILLIS,
        () -> {
          fleet.store().forgetHistory();
          fleet.store().cutWatches();
        });
  }
}
