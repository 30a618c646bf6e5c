package org.sageladder.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Says which requests crashed two targets and must not reach a third.
 *
 * <p>The answer follows from the set of crash reports alone, whatever their order, so entry VMs
 * that have heard of the same crashes agree without asking each other. A fingerprint is held back
 * once two crashes name it and at least half of the crashes about the same time do: where a zone
 * goes down, many targets crash with different requests on them, and a request retried there is no
 * culprit.
 *
 * <pre>{@code
 * quarantine.add(new CrashReport("t-3", 1, now, Set.of(fingerprint)));
 * quarantine.add(new CrashReport("t-8", 4, now + 900, Set.of(fingerprint)));
 * quarantine.holds(fingerprint, now + 1000); // true, for a minute at first
 * }</pre>
 */
public final class Quarantine {
  /**
   * What bounds a quarantine.
   *
   * @param crashRetention how long a crash counts
   * @param initialDuration how long the second crash holds a fingerprint back; each further one
   *     doubles
   * @param maxDuration longest hold
   * @param correlationWindow crashes within this time of each other are held against one another
   * @param maxReports most crashes remembered; the oldest go first
   */
  public record Limits(
      Duration crashRetention,
      Duration initialDuration,
      Duration maxDuration,
      Duration correlationWindow,
      int maxReports) {
    /** Ten minutes of memory, one minute to ten minutes of hold, 1,000 crashes. */
    public static Limits standard() {
      return new Limits(
          Duration.ofMinutes(10),
          Duration.ofMinutes(1),
          Duration.ofMinutes(10),
          Duration.ofSeconds(5),
          1_000);
    }
  }

  private record CrashId(String target, long incarnation) {}

  private final Limits limits;
  private final Object lock = new Object();
  // Guarded by lock: crashes by identity, in the order they were heard of.
  private final Map<CrashId, CrashReport> reports = new java.util.LinkedHashMap<>();
  // Replaced whole, so that the request path reads it without a lock.
  private volatile Map<Long, Long> quarantinedUntilMillis = Map.of();

  private Quarantine(Limits limits) {
    this.limits = limits;
  }

  /** A quarantine that holds nothing back yet. */
  public static Quarantine create(Limits limits) {
    return new Quarantine(limits);
  }

  /**
   * Takes a crash seen here or told by another entry VM.
   *
   * @return true where it was not known, so that it is worth passing on
   */
  public boolean add(CrashReport report) {
    synchronized (lock) {
      CrashId crash = new CrashId(report.target(), report.incarnation());
      CrashReport known = reports.get(crash);
      CrashReport merged = known == null ? report : merge(known, report);
      if (merged.equals(known)) {
        return false;
      }
      reports.put(crash, merged);
      evictOldReports(report.atMillis());
      quarantinedUntilMillis = computeQuarantinedUntil();
      return true;
    }
  }

  /** Two entry VMs may have seen one crash with different requests in flight. */
  private static CrashReport merge(CrashReport one, CrashReport other) {
    Set<Long> all = new HashSet<>(one.fingerprints());
    all.addAll(other.fingerprints());
    long at = Math.min(one.atMillis(), other.atMillis());
    return new CrashReport(one.target(), one.incarnation(), at, all);
  }

  private void evictOldReports(long nowMillis) {
    long oldest = nowMillis - limits.crashRetention().toMillis();
    reports.values().removeIf(report -> report.atMillis() < oldest);
    while (reports.size() > limits.maxReports()) {
      reports.remove(reports.keySet().iterator().next());
    }
  }

  private Map<Long, Long> computeQuarantinedUntil() {
    Map<Long, List<Long>> crashTimes = new HashMap<>();
    for (CrashReport report : reports.values()) {
      for (long fingerprint : report.fingerprints()) {
        crashTimes
            .computeIfAbsent(fingerprint, ignored -> new ArrayList<>())
            .add(report.atMillis());
      }
    }
    Map<Long, Long> held = new HashMap<>();
    crashTimes.forEach(
        (fingerprint, times) -> {
          if (times.size() >= 2 && isInHalfOfCrashes(fingerprint, times)) {
            held.put(fingerprint, latest(times) + quarantineDuration(times.size()).toMillis());
          }
        });
    return Map.copyOf(held);
  }

  /** True where at least half of the crashes about its latest ones had the fingerprint. */
  private boolean isInHalfOfCrashes(long fingerprint, List<Long> times) {
    long last = latest(times);
    int about = 0;
    int with = 0;
    for (CrashReport report : reports.values()) {
      if (Math.abs(report.atMillis() - last) <= limits.correlationWindow().toMillis()) {
        about++;
        with += report.fingerprints().contains(fingerprint) ? 1 : 0;
      }
    }
    return with * 2 >= about;
  }

  private Duration quarantineDuration(int crashCount) {
    Duration hold = limits.initialDuration();
    for (int i = 2; i < crashCount && hold.compareTo(limits.maxDuration()) < 0; i++) {
      hold = hold.multipliedBy(2);
    }
    return hold.compareTo(limits.maxDuration()) < 0 ? hold : limits.maxDuration();
  }

  private static long latest(List<Long> times) {
    return times.stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** True where the request with that fingerprint must not be sent to a target. */
  public boolean isQuarantined(long fingerprint, long nowMillis) {
    Long until = quarantinedUntilMillis.get(fingerprint);
    return until != null && nowMillis < until;
  }

  /** True where nothing is held back, so that no fingerprint needs to be worked out. */
  public boolean isEmpty() {
    return quarantinedUntilMillis.isEmpty();
  }

  /** Milliseconds until {@code fingerprint} may be tried again; 0 where it may now. */
  public long remainingMillis(long fingerprint, long nowMillis) {
    Long until = quarantinedUntilMillis.get(fingerprint);
    return until == null ? 0 : Math.max(0, until - nowMillis);
  }

  /** Crashes that still count, for an entry VM that has just started. */
  public Collection<CrashReport> reports() {
    synchronized (lock) {
      return List.copyOf(reports.values());
    }
  }
}
