package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.StoreFaultMode;
import org.sageladder.standin.platform.StoreModel;

/** Troubles of the platform's store. */
final class StoreTroubles {
  private static final int MIN_TROUBLE_MILLIS = 2_000;
  private static final int MAX_TROUBLE_MILLIS = 10_000;
  private static final long LEASES_END_AFTER_MILLIS = 1_500;
  private static final int REFUSED_VM_COUNT = 2;
  private static final long WATCH_SILENCE_MILLIS = 1_000;
  private static final long OVERWRITTEN_MILLIS = 2_500;

  /** How a store may refuse the calls of some VMs while it serves the others. */
  static final List<StoreFaultMode> REFUSAL_MODES =
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
    all.put("store-silent-leases-end", StoreTroubles::silenceAndExpireLeases);
    all.put("store-turns-some-away", StoreTroubles::refuseSomeVms);
    all.put("store-forgets", StoreTroubles::loseHistory);
    all.put("entries-of-others", StoreTroubles::writeForeignEntries);
  }

  private static void put(Map<String, Trouble> all, String name, StoreFaultMode mode) {
    all.put(name, (fleet, random) -> inject(fleet, random, mode, caller -> true));
  }

  private static void inject(
      Fleet fleet, Random random, StoreFaultMode mode, Predicate<String> affects) {
    long millis = Troubles.randomMillis(random, MIN_TROUBLE_MILLIS, MAX_TROUBLE_MILLIS);
    Troubles.recordAtAll(fleet, millis);
    fleet.storePort().setFault(mode, affects);
    fleet.runAfter(
        millis,
        () -> {
          fleet.store().renewAllLeases();
          fleet.storePort().clearFault();
        });
  }

  private static void silenceAndExpireLeases(Fleet fleet, Random random) {
    inject(fleet, random, StoreFaultMode.SILENT, caller -> true);
    fleet.runAfter(LEASES_END_AFTER_MILLIS, () -> fleet.store().revokeAllLeases());
  }

  private static void refuseSomeVms(Fleet fleet, Random random) {
    StoreFaultMode mode = REFUSAL_MODES.get(random.nextInt(REFUSAL_MODES.size()));
    List<String> affectedIps =
        Troubles.pickEntries(fleet, random, REFUSED_VM_COUNT).stream()
            .map(entry -> entry.host().ip())
            .toList();
    inject(fleet, random, mode, affectedIps::contains);
  }

  /**
   * Writes malformed entries next to those of the targets, and overwrites the entry of one target
   * for a while.
   */
  private static void writeForeignEntries(Fleet fleet, Random random) {
    for (int i = 0; i < ForeignEntries.MALFORMED.size(); i++) {
      String text =
          ForeignEntries.MALFORMED.get((i + random.nextInt(2)) % ForeignEntries.MALFORMED.size());
      put(fleet, "servers/other-" + i, PlatformTexts.base64(text));
    }
    put(fleet, "servers/other-nested", PlatformTexts.base64(ForeignEntries.NESTED));
    String key = "servers/" + fleet.runningTargets().get(0).process().facts().id();
    StoreModel.Item original = fleet.store().find(key);
    String value = original == null ? null : original.value();
    if (value != null) {
      put(fleet, key, "bytes that are no base64");
      fleet.runAfter(OVERWRITTEN_MILLIS, () -> put(fleet, key, value));
    }
  }

  private static void put(Fleet fleet, String key, String value) {
    var unused = fleet.store().put(key, value, 0);
  }

  /**
   * Watches receive no changes while a target leaves; then the store loses its history and closes
   * them.
   */
  private static void loseHistory(Fleet fleet, Random random) {
    Troubles.recordAtAll(fleet, WATCH_SILENCE_MILLIS);
    fleet.store().stallWatches();
    TargetTroubles.leave(fleet, random, 1, true);
    fleet.runAfter(
        WATCH_SILENCE_MILLIS,
        () -> {
          fleet.store().compactHistory();
          fleet.store().abortWatches();
        });
  }
}
