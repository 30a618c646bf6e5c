package org.sageladder.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which requests crashed targets and must not be sent to a further one.
 *
 * <p>The decision depends only on the set of crash reports, not on their order, so entry VMs that
 * received the same reports agree without coordination; {@link CrashAttribution} describes it. A
 * run that ends well is the exception: the entry VM that sees it no longer counts the crashes
 * before it, since a request that crashes its targets is never answered.
 *
 * <pre>{@code
 * quarantine.add(new CrashReport("t-3", 1, now, Set.of(fingerprint)));
 * quarantine.add(new CrashReport("t-8", 4, now + 900, Set.of(fingerprint)));
 * quarantine.isQuarantined(fingerprint, now + 1000); // true, for a minute at first
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Quarantine {
  /**
   * Bounds on a quarantine.
   *
   * @param crashRetention how long a crash is taken into account
   * @param initialDuration how long the second crash quarantines a fingerprint; each further crash
   *     doubles it
   * @param maxDuration maximum duration of a quarantine
   * @param correlationWindow crashes at most this far apart count as simultaneous
   * @param maxReports maximum number of crash reports kept; the oldest are evicted first
   */
  public record Limits(
      Duration crashRetention,
      Duration initialDuration,
      Duration maxDuration,
      Duration correlationWindow,
      int maxReports) {
    /**
     * Crashes count for ten minutes, a quarantine lasts one to ten minutes, and at most 1,000
     * crashes are kept.
     */
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
  // Guarded by lock: crash reports by identity, in the order of arrival.
  private final Map<CrashId, CrashReport> reports = new java.util.LinkedHashMap<>();
  // Guarded by lock: when a run of an accused request last ended well, by fingerprint.
  private final Map<Long, Long> lastSuccessMillis = new HashMap<>();
  // Replaced as a whole, so that the request path reads it without a lock.
  private volatile Map<Long, Long> quarantinedUntilMillis = Map.of();
  // Fingerprints with crashes that count against them; replaced as a whole.
  private volatile Set<Long> accused = Set.of();
  private volatile Set<Long> refuted = Set.of();

  private Quarantine(Limits limits) {
    this.limits = limits;
  }

  /** Returns an empty quarantine. */
  public static Quarantine create(Limits limits) {
    return new Quarantine(limits);
  }

  /**
   * Adds a crash seen here or reported by another entry VM.
   *
   * @return true if it adds information and should be forwarded
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
      update();
      return true;
    }
  }

  /** Two entry VMs may report one crash with different requests in flight; the union counts. */
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
    lastSuccessMillis.values().removeIf(atMillis -> atMillis < oldest);
  }

  private void update() {
    List<CrashReport> accusing = accusingReports();
    Map<Long, Long> untilMillis = new HashMap<>();
    CrashAttribution.attribute(accusing, limits.correlationWindow().toMillis())
        .forEach(
            (fingerprint, times) ->
                untilMillis.put(
                    fingerprint, latest(times) + quarantineDuration(times.size()).toMillis()));
    quarantinedUntilMillis = Map.copyOf(untilMillis);
    refuted = lastSuccessMillis.isEmpty() ? Set.of() : findRefuted(untilMillis.keySet());
    accused =
        accusing.stream()
            .flatMap(report -> report.fingerprints().stream())
            .collect(Collectors.toUnmodifiableSet());
  }

  /** The requests that the reports alone would hold responsible, but not their later runs. */
  private Set<Long> findRefuted(Set<Long> responsible) {
    Set<Long> found =
        new HashSet<>(
            CrashAttribution.attribute(reports.values(), limits.correlationWindow().toMillis())
                .keySet());
    found.removeAll(responsible);
    found.retainAll(lastSuccessMillis.keySet());
    return Set.copyOf(found);
  }

  /** The reports without the requests that have run well since. */
  private List<CrashReport> accusingReports() {
    if (lastSuccessMillis.isEmpty()) {
      return List.copyOf(reports.values());
    }
    return reports.values().stream().map(this::withoutSuccessful).toList();
  }

  private CrashReport withoutSuccessful(CrashReport report) {
    Set<Long> remaining = new HashSet<>(report.fingerprints());
    remaining.removeIf(
        fingerprint -> lastSuccessMillis.getOrDefault(fingerprint, 0L) >= report.atMillis());
    return new CrashReport(report.target(), report.incarnation(), report.atMillis(), remaining);
  }

  /**
   * Records that a run of a request ended well, so that the crashes before it no longer count here.
   */
  public void recordSuccess(long fingerprint, long nowMillis) {
    if (!accused.contains(fingerprint)) {
      return;
    }
    synchronized (lock) {
      lastSuccessMillis.merge(fingerprint, nowMillis, Math::max);
      update();
    }
  }

  /**
   * The requests that entry VMs with the same reports hold back unless they saw a run that ended
   * well, as this one did. Such a run is worth telling them.
   */
  public Set<Long> refuted() {
    return refuted;
  }

  /** The last run of an accused request that ended well, if one is known. */
  public Optional<RunSuccess> lastSuccess(long fingerprint) {
    synchronized (lock) {
      Long atMillis = lastSuccessMillis.get(fingerprint);
      return atMillis == null
          ? Optional.empty()
          : Optional.of(new RunSuccess(fingerprint, atMillis));
    }
  }

  /** Time of the last crash that includes the fingerprint; 0 if there is none. */
  public long lastCrashMillis(long fingerprint) {
    synchronized (lock) {
      return reports.values().stream()
          .filter(report -> report.fingerprints().contains(fingerprint))
          .mapToLong(CrashReport::atMillis)
          .max()
          .orElse(0);
    }
  }

  /** The number of crashes that include the fingerprint and count against it. */
  public int crashCount(long fingerprint) {
    synchronized (lock) {
      return (int)
          accusingReports().stream()
              .filter(report -> report.fingerprints().contains(fingerprint))
              .count();
    }
  }

  private Duration quarantineDuration(int crashCount) {
    Duration duration = limits.initialDuration();
    for (int i = 2; i < crashCount && duration.compareTo(limits.maxDuration()) < 0; i++) {
      duration = duration.multipliedBy(2);
    }
    return duration.compareTo(limits.maxDuration()) < 0 ? duration : limits.maxDuration();
  }

  private static long latest(List<Long> times) {
    return times.stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Returns whether the request with that fingerprint must not be sent to a target. */
  public boolean isQuarantined(long fingerprint, long nowMillis) {
    Long untilMillis = quarantinedUntilMillis.get(fingerprint);
    return untilMillis != null && nowMillis < untilMillis;
  }

  /** Returns whether nothing is quarantined, so that callers need not compute fingerprints. */
  public boolean isEmpty() {
    return quarantinedUntilMillis.isEmpty();
  }

  /** Returns whether crashes count against any request, so that the ends of runs matter. */
  public boolean hasAccused() {
    return !accused.isEmpty();
  }

  /** Returns whether crashes count against the request. */
  public boolean isAccused(long fingerprint) {
    return accused.contains(fingerprint);
  }

  /** Milliseconds until {@code fingerprint} may be tried again; 0 if it may be tried now. */
  public long remainingMillis(long fingerprint, long nowMillis) {
    Long untilMillis = quarantinedUntilMillis.get(fingerprint);
    return untilMillis == null ? 0 : Math.max(0, untilMillis - nowMillis);
  }

  /** The fingerprints that are quarantined at {@code nowMillis}. */
  public Set<Long> quarantined(long nowMillis) {
    Set<Long> current = new HashSet<>();
    quarantinedUntilMillis.forEach(
        (fingerprint, untilMillis) -> {
          if (nowMillis < untilMillis) {
            current.add(fingerprint);
          }
        });
    return current;
  }

  /**
   * What the decision on a fingerprint is based on, for log lines: the crashes that include it, the
   * age of the last one, and how many crashes there were around it.
   */
  public String describe(long fingerprint, long nowMillis) {
    synchronized (lock) {
      List<CrashReport> with =
          reports.values().stream()
              .filter(report -> report.fingerprints().contains(fingerprint))
              .toList();
      long last = with.stream().mapToLong(CrashReport::atMillis).max().orElse(nowMillis);
      long nearby = reports.values().stream().filter(report -> isNear(report, last)).count();
      return "in flight at the crashes of "
          + with.stream().map(CrashReport::target).toList()
          + ", the last "
          + (nowMillis - last)
          + " ms ago, "
          + nearby
          + " crashes around it, quarantined for "
          + remainingMillis(fingerprint, nowMillis)
          + " ms";
    }
  }

  private boolean isNear(CrashReport report, long atMillis) {
    return Math.abs(report.atMillis() - atMillis) <= limits.correlationWindow().toMillis();
  }

  /** The crash reports that are still taken into account, for an entry VM that has just started. */
  public Collection<CrashReport> reports() {
    synchronized (lock) {
      return List.copyOf(reports.values());
    }
  }
}
