package org.sageladder.core.placing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests that all entry VMs together send to a cold target, without communication
 * between them.
 *
 * <p>A target that gets well above its cold-start rate crashes, and so do its replacements, one
 * after the other. The limit is a number of requests in any second, over all entry VMs. Each target
 * therefore has a few entry VMs, the same in every VM's computation, which alone may send to it
 * while it is cold. Each of them gets an equal whole share of the limit. Entry VMs near the target
 * come first.
 *
 * <p>An earlier process of the same VM may have sent its whole share just before it ended. A VM
 * therefore sends nothing to cold targets for one window after its first list of VMs.
 */
public final class ColdTargetLimiter {
  /** Length of the window: the second that the limit covers plus a margin for network delay. */
  private static final long WINDOW_MILLIS = 1_100;

  /**
   * Requests held in reserve, since entry VMs may use two different views of the list of entry VMs
   * at the same time.
   */
  private static final int RESERVED_REQUESTS = 1;

  private double rateFactor;
  private int extraRequests;
  private final EntryVmRanking entryVms;
  private final Map<String, Deque<Long>> sentTimes = new HashMap<>();

  /**
   * Location of an entry VM.
   *
   * @param name its name
   */
  public record EntryVmLocation(String name, String zone, String region) {}

  private ColdTargetLimiter(EntryVmRanking entryVms, double rateFactor, int extraRequests) {
    this.entryVms = entryVms;
    this.rateFactor = rateFactor;
    this.extraRequests = extraRequests;
  }

  /**
   * Creates a limiter of {@code rate * rateFactor + extraRequests} requests a second for each cold
   * target. Before {@code entryVms} has had a list for a window, no request is permitted.
   */
  public static ColdTargetLimiter of(
      EntryVmRanking entryVms, double rateFactor, int extraRequests) {
    return new ColdTargetLimiter(entryVms, rateFactor, extraRequests);
  }

  /** Replaces the limits. */
  public void updateLimits(double newRateFactor, int newExtraRequests) {
    rateFactor = newRateFactor;
    extraRequests = newExtraRequests;
  }

  /** Returns true if this entry VM may send one more request to a cold target now. */
  public boolean permits(TargetFacts target, double coldPerSecond, long now) {
    int totalLimit =
        (int) Math.floor(coldPerSecond * rateFactor + extraRequests) - RESERVED_REQUESTS;
    int ownLimit = ownRequestLimit(target, totalLimit);
    if (ownLimit == 0 || !entryVms.hasBeenListedFor(WINDOW_MILLIS, now)) {
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
    if (entryVms.size() == 0 || totalLimit <= 0) {
      return 0;
    }
    int senderCount = Math.min(entryVms.size(), Math.max(1, totalLimit / 2));
    boolean isSender = entryVms.ownRank(target) < senderCount;
    return isSender ? Math.max(1, totalLimit / senderCount) : 0;
  }
}
