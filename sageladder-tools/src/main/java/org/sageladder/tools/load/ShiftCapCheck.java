package org.sageladder.tools.load;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ShiftCap;

/**
 * Checks the shift caps against the number of requests that the targets started.
 *
 * <p>The starts in a window may exceed those in the preceding window at most by the gain that the
 * contract allows. Window boundaries are rounded to samples such that the sampling interval can
 * only understate a violation.
 */
final class ShiftCapCheck {
  /**
   * A request starts shortly after its admission, so a window may contain a few starts that were
   * admitted in the preceding one.
   */
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

  /** The target or region that used the largest fraction of its cap; the fraction may exceed 1. */
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

  /**
   * Largest increase of any window over the preceding one, as a fraction of the allowed increase.
   */
  private double maxUsedFraction(List<Integer> chosen, ShiftCap cap, double capacity) {
    long[] started = samples.startedCounts(chosen);
    double allowed = cap.gainFraction() * capacity * cap.window().toNanos() / 1e9;
    double slack = SLACK_FRACTION * allowed + SLACK_REQUESTS;
    double maxUsed = 0;
    for (int sample = 0; sample < samples.sampleCount(); sample++) {
      long endNanos = samples.atNanos().get(sample);
      long recent = started[sample] - countAtOrAfter(started, endNanos - cap.window().toNanos());
      long previous =
          countAtOrAfter(started, endNanos - cap.window().toNanos())
              - countTwoWindowsBefore(started, endNanos, cap.window());
      maxUsed = Math.max(maxUsed, (recent - previous - slack) / allowed);
    }
    return maxUsed;
  }

  /** Count at the first sample taken at or after {@code nanos}; 0 if {@code nanos} is negative. */
  private long countAtOrAfter(long[] started, long nanos) {
    if (nanos < 0) {
      return 0;
    }
    for (int sample = 0; sample < started.length; sample++) {
      if (samples.atNanos().get(sample) >= nanos) {
        return started[sample];
      }
    }
    return started[started.length - 1];
  }

  /** Count at the last sample taken at least two windows before {@code endNanos}. */
  private long countTwoWindowsBefore(long[] started, long endNanos, Duration window) {
    long cutoffNanos = endNanos - 2 * window.toNanos();
    long count = 0;
    for (int sample = 0;
        sample < started.length && samples.atNanos().get(sample) <= cutoffNanos;
        sample++) {
      count = started[sample];
    }
    return count;
  }
}
