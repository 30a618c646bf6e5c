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
public final class ColdAllowance {
  /** Span of one count; a little over the second that counts, for what is on its way. */
  private static final long SPAN_MILLIS = 1_100;

  /** Requests that stay unused, for a target seen by two views of the entry VMs at once. */
  private static final int SPARE = 1;

  /** Longer than the store's outages that the users tell of, by far. */
  private static final long MISSING_COUNTS_MILLIS = 60_000;

  private double over;
  private int slack;
  private final String self;
  private final Map<String, EntryPlace> entries = new HashMap<>();
  private final Map<String, Long> missingSince = new HashMap<>();
  private final Map<String, Deque<Long>> sent = new HashMap<>();

  /**
   * Where an entry VM is.
   *
   * @param name its name
   */
  public record EntryPlace(String name, String zone, String region) {}

  private ColdAllowance(String self, double over, int slack) {
    this.self = self;
    this.over = over;
    this.slack = slack;
  }

  /**
   * An allowance of {@code rate * over + slack} requests a second for each cold target.
   *
   * @param self name of this entry VM
   */
  public static ColdAllowance of(String self, double over, int slack) {
    return new ColdAllowance(self, over, slack);
  }

  /** Puts newer bounds in force. */
  public void bounds(double newOver, int newSlack) {
    over = newOver;
    slack = newSlack;
  }

  /**
   * Follows the list of live entry VMs; while it was never told, nothing may be sent.
   *
   * <p>A VM that is missing from the list goes on counting for a while. Registrations lapse while
   * the store is away, though the VMs live and go on sending: if those left in the list shared the
   * bound among themselves, each believing to be nearly alone, a cold target would get it several
   * times over. What a VM that has really gone leaves unused is little, and cold times are short.
   */
  public void entries(Collection<EntryPlace> live, long now) {
    Set<String> named = new HashSet<>();
    for (EntryPlace entry : live) {
      named.add(entry.name());
      entries.put(entry.name(), entry);
      missingSince.remove(entry.name());
    }
    for (String known : entries.keySet()) {
      if (!named.contains(known)) {
        missingSince.putIfAbsent(known, now);
      }
    }
    entries.keySet().removeIf(known -> isForgotten(known, now));
    missingSince.keySet().retainAll(entries.keySet());
  }

  private boolean isForgotten(String name, long now) {
    Long since = missingSince.get(name);
    return since != null && now - since >= MISSING_COUNTS_MILLIS;
  }

  /** True where this entry VM may send one more request to a cold target now. */
  public boolean permits(TargetFacts target, double coldPerSecond, long now) {
    int total = (int) Math.floor(coldPerSecond * over + slack) - SPARE;
    int mine = part(target, total);
    if (mine == 0) {
      return false;
    }
    Deque<Long> times = sent.get(target.id());
    if (times == null) {
      return true;
    }
    while (!times.isEmpty() && now - times.peekFirst() >= SPAN_MILLIS) {
      times.removeFirst();
    }
    return times.size() < mine;
  }

  /** Counts a request that is sent to a cold target. */
  public void sent(TargetFacts target, long now) {
    sent.computeIfAbsent(target.id(), id -> new ArrayDeque<>()).addLast(now);
  }

  /** Forgets a target that is gone. */
  public void forget(String target) {
    sent.remove(target);
  }

  private int part(TargetFacts target, int total) {
    if (entries.isEmpty() || total <= 0) {
      return 0;
    }
    int senders = Math.min(entries.size(), Math.max(1, total / 2));
    boolean chosen =
        entries.values().stream()
            .sorted(nearFirst(target))
            .limit(senders)
            .anyMatch(entry -> entry.name().equals(self));
    return chosen ? Math.max(1, total / senders) : 0;
  }

  private static Comparator<EntryPlace> nearFirst(TargetFacts target) {
    return Comparator.<EntryPlace>comparingInt(entry -> distance(entry, target))
        .thenComparingLong(
            entry -> Hashing.komihash5_0().hashCharsToLong(target.id() + '\n' + entry.name()))
        .thenComparing(EntryPlace::name);
  }

  private static int distance(EntryPlace entry, TargetFacts target) {
    if (entry.zone().equals(target.zone())) {
      return 0;
    }
    return entry.region().equals(target.region()) ? 1 : 2;
  }
}
