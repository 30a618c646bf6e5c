package org.sageladder.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Attributes crashes to the requests that caused them.
 *
 * <p>A request that was in flight at three crashes is held responsible, whatever else crashed. Its
 * crashes then count neither against the requests that waited beside it at two of them, nor as
 * crashes of another cause.
 *
 * <p>Two crashes suffice if at least half of the remaining crashes at about the same time include
 * the request. After the loss of a zone they do not: many targets then crash with different
 * requests, and one that was retried within the zone was on two of them.
 */
final class CrashAttribution {
  private static final int MIN_CRASHES = 2;

  /** Number of crashes that suffice whatever else crashed. */
  private static final int SUFFICIENT_CRASHES = 3;

  private final long correlationWindowMillis;
  private final Set<CrashReport> unattributed;
  private final Map<Long, List<Long>> crashTimes = new HashMap<>();

  /**
   * The crashes at which a request was in flight and which are not attributed to another one.
   *
   * @param weight sum over these crashes of one divided by the number of requests in flight; few
   *     requests in flight accuse each of them more than many
   */
  private record Suspect(long fingerprint, List<CrashReport> crashes, double weight) {
    static final Comparator<Suspect> BY_EVIDENCE =
        Comparator.comparingDouble(Suspect::weight).thenComparingLong(Suspect::fingerprint);

    long lastCrashMillis() {
      return crashes.stream().mapToLong(CrashReport::atMillis).max().orElse(0);
    }
  }

  private CrashAttribution(Collection<CrashReport> reports, long correlationWindowMillis) {
    this.unattributed = new HashSet<>(reports);
    this.correlationWindowMillis = correlationWindowMillis;
  }

  /**
   * Returns the requests held responsible by fingerprint, with the times of the crashes attributed
   * to them. The result does not depend on the order of the reports.
   *
   * @param correlationWindowMillis crashes at most this far apart count as simultaneous
   */
  static Map<Long, List<Long>> attribute(
      Collection<CrashReport> reports, long correlationWindowMillis) {
    CrashAttribution attribution = new CrashAttribution(reports, correlationWindowMillis);
    attribution.attributeSufficient();
    while (attribution.attributeNext()) {}
    return attribution.crashTimes;
  }

  private void attributeSufficient() {
    suspects().stream()
        .filter(suspect -> suspect.crashes().size() >= SUFFICIENT_CRASHES)
        .forEach(this::attribute);
  }

  private void attribute(Suspect suspect) {
    crashTimes.put(
        suspect.fingerprint(), suspect.crashes().stream().map(CrashReport::atMillis).toList());
    suspect.crashes().forEach(unattributed::remove);
  }

  /** Attributes two crashes to a request; false if none can be held responsible. */
  private boolean attributeNext() {
    List<Suspect> suspects = suspects();
    Optional<Suspect> next =
        suspects.stream().filter(this::isInHalfOfCrashes).max(Suspect.BY_EVIDENCE);
    if (next.isEmpty()) {
      return false;
    }
    // Requests that were together at each of these crashes cannot be told apart.
    suspects.stream()
        .filter(suspect -> suspect.crashes().equals(next.get().crashes()))
        .forEach(this::attribute);
    return true;
  }

  private List<Suspect> suspects() {
    Map<Long, List<CrashReport>> crashesByFingerprint = new HashMap<>();
    for (CrashReport crash : unattributed) {
      for (long fingerprint : crash.fingerprints()) {
        crashesByFingerprint.computeIfAbsent(fingerprint, ignored -> new ArrayList<>()).add(crash);
      }
    }
    List<Suspect> suspects = new ArrayList<>();
    crashesByFingerprint.forEach(
        (fingerprint, crashes) -> {
          if (crashes.size() >= MIN_CRASHES && !crashTimes.containsKey(fingerprint)) {
            suspects.add(new Suspect(fingerprint, crashes, weight(crashes)));
          }
        });
    return suspects;
  }

  private static double weight(List<CrashReport> crashes) {
    return crashes.stream().mapToDouble(crash -> 1.0 / crash.fingerprints().size()).sum();
  }

  private boolean isInHalfOfCrashes(Suspect suspect) {
    long last = suspect.lastCrashMillis();
    long nearby = unattributed.stream().filter(crash -> isNear(crash, last)).count();
    long including = suspect.crashes().stream().filter(crash -> isNear(crash, last)).count();
    return including * 2 >= nearby;
  }

  private boolean isNear(CrashReport crash, long atMillis) {
    return Math.abs(crash.atMillis() - atMillis) <= correlationWindowMillis;
  }
}
