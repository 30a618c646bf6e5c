package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits the requests that all entry VMs together send to a cold target, without communication
 * between them.
 *
 * <p>A target that gets well above its cold-start rate crashes, and so do its replacements, one
 * after the other. The limit is a number of requests in any second, over all entry VMs. Each target
 * therefore has a few entry VMs, the same in every VM's computation, which alone may send to it
 * while it is cold. Each of them gets an equal whole share of the limit. Entry VMs near the target
 * come first.
 */
public final class ColdTargetLimiter {
  /** Length of the window: the second that the limit covers plus a margin for network delay. */
  private static final long WINDOW_MILLIS = 1_100;

  /**
   * Requests held in reserve, since entry VMs may use two different views of the list of entry VMs
   * at the same time.
   */
  private static final int RESERVED_REQUESTS = 1;

  /**
   * How long an entry VM that is missing from the list keeps its share: far longer than the store
   * outages that users report.
   */
  private static final long MISSING_VM_GRACE_MILLIS = 60_000;

  private double rateFactor;
  private int extraRequests;
  private final String self;
  private final Map<String, EntryVmLocation> entryVms = new HashMap<>();
  private final Map<String, Long> missingSinceMillis = new HashMap<>();
  private final Map<String, Deque<Long>> sentTimes = new HashMap<>();

  /**
   * Location of an entry VM.
   *
   * @param name its name
   */
  public record EntryVmLocation(String name, String zone, String region) {}

  private ColdTargetLimiter(String self, double rateFactor, int extraRequests) {
    this.self = self;
    this.rateFactor = rateFactor;
    this.extraRequests = extraRequests;
  }

  /**
   * Creates a limiter of {@code rate * rateFactor + extraRequests} requests a second for each cold
   * target.
   *
   * @param self name of this entry VM
   */
  public static ColdTargetLimiter of(String self, double rateFactor, int extraRequests) {
    return new ColdTargetLimiter(self, rateFactor, extraRequests);
  }

  /** Replaces the limits. */
  public void updateLimits(double newRateFactor, int newExtraRequests) {
    rateFactor = newRateFactor;
    extraRequests = newExtraRequests;
  }

  /**
   * Updates the list of live entry VMs. Before the first call, no request is permitted.
   *
   * <p>A VM that is missing from the list keeps its share for a while. Registrations expire during
   * a store outage although the VMs stay alive and go on sending. If the VMs left in the list
   * divided the limit among themselves, each assuming that it is nearly alone, a cold target would
   * get several times the limit. The share that a stopped VM leaves unused is small, and targets
   * are cold only briefly.
   */
  public void updateEntryVms(Collection<EntryVmLocation> live, long now) {
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

  /** Returns true if this entry VM may send one more request to a cold target now. */
  public boolean permits(TargetFacts target, double coldPerSecond, long now) {
    int totalLimit =
        (int) Math.floor(coldPerSecond * rateFactor + extraRequests) - RESERVED_REQUESTS;
    int ownLimit = ownRequestLimit(target, totalLimit);
    if (ownLimit == 0) {
      return false;
    }
    Deque<Long> times = sentTimes.get(target.id());
    if (times == null) {
      return true;
    }
    while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_MILLIS) {
      times.removeFirst();
    }
    return times.size() < ownLimit;
  }

  /** Records a request sent to a cold target. */
  public void recordSent(TargetFacts target, long now) {
    sentTimes.computeIfAbsent(target.id(), id -> new ArrayDeque<>()).addLast(now);
  }

  /** Discards the counts of a removed target. */
  public void removeTarget(String target) {
    sentTimes.remove(target);
  }

  private int ownRequestLimit(TargetFacts target, int totalLimit) {
    if (entryVms.isEmpty() || totalLimit <= 0) {
      return 0;
    }
    int senderCount = Math.min(entryVms.size(), Math.max(1, totalLimit / 2));
    boolean isSender =
        entryVms.values().stream()
            .sorted(byDistance(target))
            .limit(senderCount)
            .anyMatch(entryVm -> entryVm.name().equals(self));
    return isSender ? Math.max(1, totalLimit / senderCount) : 0;
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
