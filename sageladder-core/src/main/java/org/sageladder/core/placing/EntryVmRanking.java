package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;

/**
 * The order of the live entry VMs for each target, those near the target first. It is the same in
 * every VM's computation, so that limits can be divided among the first few of them without
 * communication.
 *
 * <pre>{@code
 * EntryVmRanking ranking = EntryVmRanking.of("e-1");
 * ranking.update(liveVms, now);
 * boolean isSender = ranking.ownRank(target) < senderCount;
 * }</pre>
 *
 * <p>A VM that is missing from the list keeps its place for a while. Registrations expire during a
 * store outage although the VMs stay alive and go on sending. If the VMs left in the list divided a
 * limit among themselves, each assuming that it is nearly alone, a target would get several times
 * the limit.
 */
public final class EntryVmRanking {
  /** Rank of a VM that is not in the list. */
  static final int UNRANKED = Integer.MAX_VALUE;

  /**
   * How long an entry VM that is missing from the list keeps its place: far longer than the store
   * outages that users report.
   */
  private static final long MISSING_VM_GRACE_MILLIS = 60_000;

  private final String self;
  private final Map<String, EntryVmLocation> entryVms = new HashMap<>();
  private final Map<String, Long> missingSinceMillis = new HashMap<>();
  private final Map<RankedTarget, Integer> ownRanks = new HashMap<>();
  private long firstListAtMillis;

  /** The properties of a target that its ranking depends on. */
  private record RankedTarget(String id, String zone, String region) {}

  private EntryVmRanking(String self) {
    this.self = self;
  }

  /**
   * Creates an empty ranking.
   *
   * @param self name of this entry VM
   */
  public static EntryVmRanking of(String self) {
    return new EntryVmRanking(self);
  }

  /** Updates the list of live entry VMs. */
  public void update(Collection<EntryVmLocation> live, long now) {
    if (entryVms.isEmpty()) {
      firstListAtMillis = now;
    }
    ownRanks.clear();
    Set<String> liveNames = new HashSet<>();
    for (EntryVmLocation entryVm : live) {
      liveNames.add(entryVm.name());
      entryVms.put(entryVm.name(), entryVm);
      missingSinceMillis.remove(entryVm.name());
    }
    for (String name : entryVms.keySet()) {
      if (!liveNames.contains(name)) {
        missingSinceMillis.putIfAbsent(name, now);
      }
    }
    entryVms.keySet().removeIf(name -> isExpired(name, now));
    missingSinceMillis.keySet().retainAll(entryVms.keySet());
  }

  private boolean isExpired(String name, long now) {
    Long since = missingSinceMillis.get(name);
    return since != null && now - since >= MISSING_VM_GRACE_MILLIS;
  }

  /** True if this VM has known the others for at least {@code millis}. */
  boolean hasBeenListedFor(long millis, long now) {
    return !entryVms.isEmpty() && now - firstListAtMillis >= millis;
  }

  /** The number of ranked VMs; 0 before the first list. */
  int size() {
    return entryVms.size();
  }

  /**
   * Returns the number of VMs before this one in the order for {@code target}, or {@link #UNRANKED}
   * if this VM is not in the list.
   */
  int ownRank(TargetFacts target) {
    if (!entryVms.containsKey(self)) {
      return UNRANKED;
    }
    return ownRanks.computeIfAbsent(
        new RankedTarget(target.id(), target.zone(), target.region()),
        key -> {
          Comparator<EntryVmLocation> order = byDistance(target);
          EntryVmLocation own = entryVms.get(self);
          return (int)
              entryVms.values().stream().filter(entryVm -> order.compare(entryVm, own) < 0).count();
        });
  }

  private static Comparator<EntryVmLocation> byDistance(TargetFacts target) {
    return Comparator.<EntryVmLocation>comparingInt(entryVm -> distance(entryVm, target))
        .thenComparingLong(
            entryVm -> Hashing.komihash5_0().hashCharsToLong(target.id() + '\n' + entryVm.name()))
        .thenComparing(EntryVmLocation::name);
  }

  private static int distance(EntryVmLocation entryVm, TargetFacts target) {
    if (entryVm.zone().equals(target.zone())) {
      return 0;
    }
    return entryVm.region().equals(target.region()) ? 1 : 2;
  }
}
