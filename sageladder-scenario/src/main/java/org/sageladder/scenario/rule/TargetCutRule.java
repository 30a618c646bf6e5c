package org.sageladder.scenario.rule;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.scenario.SimulatedDay.TargetCut;
import org.sageladder.standin.platform.Ledger;

/**
 * Checks what callers get at entry VMs that reach no target, beside what they get at the others.
 */
final class TargetCutRule {
  private static final double MIN_RELATIVE_SERVED_FRACTION = 2.0 / 3;
  private static final int MAX_FAILURES = 10;
  private static final double MAX_FAILED_FRACTION = 1.0 / 50;

  /** First tries at some entry VMs. */
  private static final class Tries {
    private int count;
    private int servedCount;

    void add(boolean isServed) {
      count++;
      servedCount += isServed ? 1 : 0;
    }

    double servedFraction() {
      return count == 0 ? 0 : (double) servedCount / count;
    }

    int failedCount() {
      return count - servedCount;
    }
  }

  private TargetCutRule() {}

  /** The cuts during which the VMs that are cut off have served too few. */
  static List<String> underserved(SimulatedDay day) {
    return day.targetCuts().stream()
        .filter(TargetCut::isSteady)
        .map(cut -> violation(day, cut))
        .flatMap(Optional::stream)
        .toList();
  }

  private static Optional<String> violation(SimulatedDay day, TargetCut cut) {
    long fromMillis = cut.fromMillis() + day.bounds().discoveryMillis();
    Tries atCutVms = new Tries();
    Tries atOthers = new Tries();
    for (Ledger.FirstTry firstTry : day.ledger().firstTries()) {
      if (firstTry.atMillis() < fromMillis
          || firstTry.atMillis() >= cut.toMillis()
          || !day.isInContact(firstTry.entryVmIp(), firstTry.atMillis(), firstTry.atMillis())) {
        continue;
      }
      boolean isCutOff = isCutOff(day, firstTry);
      if (isCutOff && !cut.vms().contains(firstTry.entryVmIp())) {
        continue;
      }
      (isCutOff ? atCutVms : atOthers).add(day.ledger().isServed(firstTry));
    }
    if (!isUnderserved(atCutVms, atOthers)) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            Locale.ROOT,
            "VMs cut off from all targets from %d ms served %d of %d first tries, others %d of %d",
            cut.fromMillis(),
            atCutVms.servedCount,
            atCutVms.count,
            atOthers.servedCount,
            atOthers.count));
  }

  private static boolean isCutOff(SimulatedDay day, Ledger.FirstTry firstTry) {
    return day.targetCuts().stream()
        .anyMatch(
            cut ->
                cut.vms().contains(firstTry.entryVmIp())
                    && cut.fromMillis() <= firstTry.atMillis()
                    && firstTry.atMillis() < cut.toMillis());
  }

  private static boolean isUnderserved(Tries atCutVms, Tries atOthers) {
    int allCount = atCutVms.count + atOthers.count;
    return atCutVms.servedFraction() < MIN_RELATIVE_SERVED_FRACTION * atOthers.servedFraction()
        && atCutVms.failedCount() > MAX_FAILURES + MAX_FAILED_FRACTION * allCount;
  }
}
