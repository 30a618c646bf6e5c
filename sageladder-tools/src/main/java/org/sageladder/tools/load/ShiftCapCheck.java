package org.sageladder.tools.load;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ShiftCap;

/**
 * Checks the caps on shifts from what targets really started.
 *
 * <p>No window may hold more starts than the window before it plus the gain that the contract
 * allows. Windows are cut so that the step of sampling can only make a breach look smaller.
 */
final class ShiftCapCheck {
  /** A start follows its admission by a little, so a window may hold a few of the one before. */
  private static final double SLACK_FRACTION = 0.05;

  private static final int SLACK_REQUESTS = 2;

  private final VariantResult variant;
  private final Samples samples;

  private ShiftCapCheck(VariantResult variant) {
    this.variant = variant;
    this.samples = variant.samples();
  }

  static ShiftCapCheck of(VariantResult variant) {
    return new ShiftCapCheck(variant);
  }

  /** The place and moment that came closest to its cap, or went beyond it. */
  private static final class WorstCase {
    private double usedFraction;
    private String location = "none";

    void update(double fraction, String candidateLocation) {
      if (fraction > usedFraction) {
        usedFraction = fraction;
        location = candidateLocation;
      }
    }

    CheckResult toCheckResult(String name) {
      return new CheckResult(
          name,
          usedFraction <= 1,
          String.format(
              Locale.ROOT, "%.0f %% of the allowed gain used, at %s", 100 * usedFraction, location),
          "at most 100 %");
    }
  }

  CheckResult checkTargets() {
    WorstCase worst = new WorstCase();
    for (Contract.Service service : variant.experiment().contract().services()) {
      List<Integer> chosen =
          samples.targetIndexes(target -> target.service().equals(service.name()));
      for (int target : chosen) {
        worst.update(
            maxUsedFraction(List.of(target), service.targetShiftCap(), service.targetCapacity()),
            samples.targets().get(target).id());
      }
    }
    return worst.toCheckResult("shift toward a target stays under its cap");
  }

  CheckResult checkRegions() {
    WorstCase worst = new WorstCase();
    Contract contract = variant.experiment().contract();
    for (Contract.Service service : contract.services()) {
      for (Contract.Region region : contract.regions()) {
        List<Integer> chosen =
            samples.targetIndexes(
                target ->
                    target.service().equals(service.name())
                        && region.zones().contains(target.zone()));
        if (!chosen.isEmpty()) {
          double capacity = chosen.size() * service.targetCapacity();
          worst.update(
              maxUsedFraction(chosen, service.regionShiftCap(), capacity),
              service.name() + " in " + region.name());
        }
      }
    }
    return worst.toCheckResult("shift toward a region stays under its cap");
  }

  /** Largest growth of any window over the one before, as a share of the growth allowed. */
  private double maxUsedFraction(List<Integer> chosen, ShiftCap cap, double capacity) {
    long[] started = samples.startedCounts(chosen);
    double allowed = cap.gainFraction() * capacity * cap.window().toNanos() / 1e9;
    double slack = SLACK_FRACTION * allowed + SLACK_REQUESTS;
    double maxUsed = 0;
    for (int step = 0; step < samples.sampleCount(); step++) {
      long endNanos = samples.atNanos().get(step);
      long recent = started[step] - countAtOrAfter(started, endNanos - cap.window().toNanos());
      long before =
          countAtOrAfter(started, endNanos - cap.window().toNanos())
              - countTwoWindowsBefore(started, endNanos, cap.window());
      maxUsed = Math.max(maxUsed, (recent - before - slack) / allowed);
    }
    return maxUsed;
  }

  /** The count at the first sample not earlier than {@code nanos}; 0 before the first sample. */
  private long countAtOrAfter(long[] started, long nanos) {
    if (nanos < 0) {
      return 0;
    }
    for (int step = 0; step < started.length; step++) {
      if (samples.atNanos().get(step) >= nanos) {
        return started[step];
      }
    }
    return started[started.length - 1];
  }

  /** The count at the last sample not later than two windows before {@code end}. */
  private long countTwoWindowsBefore(long[] started, long endNanos, Duration window) {
    long cutoffNanos = endNanos - 2 * window.toNanos();
    long count = 0;
    for (int step = 0;
        step < started.length && samples.atNanos().get(step) <= cutoffNanos;
        step++) {
      count = started[step];
    }
    return count;
  }
}
