package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.StoreFaultMode;
import org.sageladder.standin.platform.StoreModel;

/** What happens to the platform's store. */
final class StoreTroubles {
  private static final int SHORTEST = 2_000;
  private static final int LONGEST = 10_000;
  private static final long LEASES_END_AFTER_MILLIS = 1_500;
  private static final int TURNED_AWAY = 2;
  private static final long DEAF_MILLIS = 1_000;
  private static final long OVERWRITTEN_MILLIS = 2_500;
  private static final String FOREIGN_START =
      "{\"service\":\"search\",\"address\":\"10.5.0.1:9000\",\"zone\":\"north-a\",";

  /** A state that nobody knows, no slots, no zone, no JSON, an address without a port. */
  private static final List<String> FOREIGN_ENTRIES =
      List.of(
          FOREIGN_START
              + "\"config_version\":\"v1\",\"slots\":3,\"state\":\"resting\","
              + "\"cold_left\":\"0ms\",\"sequence\":1}",
          FOREIGN_START + "\"state\":\"ready\",\"cold_left\":\"0ms\",\"sequence\":1}",
          "{\"service\":\"search\",\"address\":\"10.5.0.1:9000\",\"slots\":3,"
              + "\"config_version\":\"v1\",\"zone\":7,\"state\":\"ready\"}",
          "no JSON at all",
          "{\"service\":\"search\",\"address\":\"10.5.0.1\",\"zone\":\"north-a\","
              + "\"config_version\":\"v1\",\"slots\":3,\"state\":\"ready\","
              + "\"cold_left\":\"0ms\",\"sequence\":1}");

  private static final List<StoreFaultMode> WAYS_TO_TURN_AWAY =
      List.of(
          StoreFaultMode.BUSY,
          StoreFaultMode.TOO_MANY,
          StoreFaultMode.RESETS,
          StoreFaultMode.SILENT);

  private StoreTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    put(all, "store-busy", StoreFaultMode.BUSY);
    put(all, "store-too-many", StoreFaultMode.TOO_MANY);
    put(all, "store-resets", StoreFaultMode.RESETS);
    put(all, "store-silent", StoreFaultMode.SILENT);
    put(all, "store-loses-answers", StoreFaultMode.LOSES_ANSWERS);
    put(all, "store-writes-late", StoreFaultMode.LATE_WRITES);
    put(all, "store-slow", StoreFaultMode.SLOW);
    all.put("store-silent-leases-end", StoreTroubles::silentAndLeasesEnd);
    all.put("store-turns-some-away", StoreTroubles::turnSomeAway);
    all.put("store-forgets", StoreTroubles::forget);
    all.put("entries-of-others", StoreTroubles::entriesOfOthers);
  }

  private static void put(Map<String, Trouble> all, String name, StoreFaultMode kind) {
    all.put(name, (fleet, random) -> trouble(fleet, random, kind, caller -> true));
  }

  private static void trouble(
      Fleet fleet, Random random, StoreFaultMode kind, Predicate<String> hits) {
    long millis = Troubles.between(random, SHORTEST, LONGEST);
    Troubles.noteEverywhere(fleet, millis);
    fleet.storePort().setFault(kind, hits);
    fleet.after(
        millis,
        () -> {
          fleet.store().renewAllLeases();
          fleet.storePort().clearFault();
        });
  }

  private static void silentAndLeasesEnd(Fleet fleet, Random random) {
    trouble(fleet, random, StoreFaultMode.SILENT, caller -> true);
    fleet.after(LEASES_END_AFTER_MILLIS, () -> fleet.store().revokeAllLeases());
  }

  private static void turnSomeAway(Fleet fleet, Random random) {
    StoreFaultMode kind = WAYS_TO_TURN_AWAY.get(random.nextInt(WAYS_TO_TURN_AWAY.size()));
    List<String> hit =
        Troubles.pick(fleet, random, TURNED_AWAY).stream().map(entry -> entry.host().ip()).toList();
    trouble(fleet, random, kind, hit::contains);
  }

  /** Another writer's entries lie among the targets', and one overwrites a target's for a while. */
  private static void entriesOfOthers(Fleet fleet, Random random) {
    for (int i = 0; i < FOREIGN_ENTRIES.size(); i++) {
      String text = FOREIGN_ENTRIES.get((i + random.nextInt(2)) % FOREIGN_ENTRIES.size());
      put(fleet, "servers/other-" + i, PlatformTexts.base64(text));
    }
    String key = "servers/" + fleet.targets().get(0).process().facts().id();
    StoreModel.Item before = fleet.store().find(key);
    String value = before == null ? null : before.value();
    if (value != null) {
      put(fleet, key, "bytes that are no base64");
      fleet.after(OVERWRITTEN_MILLIS, () -> put(fleet, key, value));
    }
  }

  private static void put(Fleet fleet, String key, String value) {
    var unused = fleet.store().put(key, value, 0);
  }

  /** Watches hear nothing while a target leaves; then the history is gone and they are cut. */
  private static void forget(Fleet fleet, Random random) {
    Troubles.noteEverywhere(fleet, DEAF_MILLIS);
    fleet.store().stallWatches();
    TargetTroubles.leave(fleet, random, 1, true);
    fleet.after(
        DEAF_MILLIS,
        () -> {
          fleet.store().compactHistory();
          fleet.store().abortWatches();
        });
  }
}
