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
 * Bounds what cold targets get from all entry VMs together, without any talk between these.
 *
 * <p>A cold target crashes well above its rate, and so do its successors, one after the other. The
 * bound is a count in each second over all entry VMs; each target therefore has a few entry VMs,
 * chosen alike everywhere, that alone may send to it while it is cold, each with an equal whole
 * part of the bound. Near entry VMs come first.
 */
public final class ColdTargetLimiter {
  /** Span of one count; a little over the second that counts, for what is on its way. */
  private static final long WINDOW_MILLIS = 1_100;

  /** Requests that stay unused, for a target seen by two views of the entry VMs at once. */
  private static final int RESERVED_REQUESTS = 1;

  /** Longer than the store's outages that the users tell of, by far. */
  private static final long MISSING_VM_GRACE_MILLIS = 60_000;

  private double rateFactor;
  private int extraRequests;
  private final String self;
  private final Map<String, EntryVmLocation> entryVms = new HashMap<>();
  private final Map<String, Long> missingSinceMillis = new HashMap<>();
  private final Map<String, Deque<Long>> sentTimes = new HashMap<>();

  /**
   * Where an entry VM is.
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
   * An allowance of {@code rate * over + slack} requests a second for each cold target.
   *
   * @param self name of this entry VM
   */
  public static ColdTargetLimiter of(String self, double rateFactor, int extraRequests) {
    return new ColdTargetLimiter(self, rateFactor, extraRequests);
  }

  /** Puts newer bounds in force. */
  public void updateLimits(double newRateFactor, int newExtraRequests) {
    rateFactor = newRateFactor;
    extraRequests = newExtraRequests;
  }

  /**
   * Follows the list of live entry VMs; while it was never told, nothing may be sent.
   *
   * <p>A VM that is missing from the list goes on counting for a while. Registrations lapse while
   * the store is away, though the VMs live and go on sending: if those left in the list shared the
   * bound among themselves, each believing to be nearly alone, a cold target would get it several
   * times over. What a VM that has really gone leaves unused is little, and cold times are short.
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

  /** True where this entry VM may send one more request to a cold target now. */
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

  /** Counts a request that is sent to a cold target. */
  public void recordSent(TargetFacts target, long now) {
    sentTimes.computeIfAbsent(target.id(), id -> new ArrayDeque<>()).addLast(now);
  }

  /** Forgets a target that is gone. */
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
