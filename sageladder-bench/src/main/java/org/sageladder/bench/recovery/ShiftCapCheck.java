package org.sageladder.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;

/**
 * Checks the contract's shift caps against the requests that targets have started.
 *
 * <p>A window may have no more starts than the preceding window plus the allowed gain. The caps
 * apply to admissions, which precede the starts slightly, so a tolerance of 5 % of the gain and two
 * requests is added.
 */
final class ShiftCapCheck {
  private static final double SLACK_FRACTION = 0.05;
  private static final int SLACK_REQUESTS = 2;

  private final List<Sample> samples = new ArrayList<>();

  /** Number of requests started by each target at a point in time. */
  private record Sample(long nanos, Map<String, Long> startedByTarget) {}

  synchronized void recordSample(Map<String, Long> started) {
    samples.add(new Sample(System.nanoTime(), started));
  }

  /**
   * Use of the allowed gain in the window with the largest use.
   *
   * @param fraction used fraction of the allowed gain
   * @param scope target or region to which the gain applies
   * @param nanos end of the window, from {@link System#nanoTime}
   */
  record CapUsage(double fraction, String scope, long nanos) {}

  /** Largest use of the allowed gain in any window, for the sum of {@code targets}. */
  synchronized CapUsage maxUsage(
      String scope, List<String> targets, Contract.ShiftCap cap, double capacityPerSecond) {
    ToLongFunction<Sample> count =
        sample ->
            targets.stream().mapToLong(id -> sample.startedByTarget().getOrDefault(id, 0L)).sum();
    long window = cap.window().toNanos();
    double allowedGain = cap.gainFraction() * capacityPerSecond * window / 1e9;
    CapUsage maxUsage = new CapUsage(0, scope, System.nanoTime());
    for (Sample end : samples) {
      Sample windowStart = atOrAfter(end.nanos() - window);
      Sample precedingStart = atOrBefore(end.nanos() - 2 * window);
      if (precedingStart == null) {
        continue;
      }
      long recent = count.applyAsLong(end) - count.applyAsLong(windowStart);
      long preceding = count.applyAsLong(windowStart) - count.applyAsLong(precedingStart);
      double gain = recent - preceding - SLACK_FRACTION * allowedGain - SLACK_REQUESTS;
      if (gain / allowedGain > maxUsage.fraction()) {
        maxUsage = new CapUsage(gain / allowedGain, scope, end.nanos());
      }
    }
    return maxUsage;
  }

  private Sample atOrAfter(long nanos) {
    for (Sample sample : samples) {
      if (sample.nanos() - nanos >= 0) {
        return sample;
      }
    }
    return samples.get(samples.size() - 1);
  }

  private @Nullable Sample atOrBefore(long nanos) {
    Sample last = null;
    for (Sample sample : samples) {
      if (sample.nanos() - nanos > 0) {
        return last;
      }
      last = sample;
    }
    return last;
  }

  /**
   * Time at which any of {@code targets} first started a request after {@code nanos}, or -1 if none
   * did.
   */
  synchronized long firstStartAfter(long nanos, List<String> targets) {
    Sample base = atOrAfter(nanos);
    for (Sample sample : samples) {
      boolean started =
          targets.stream()
              .anyMatch(
                  id ->
                      sample.startedByTarget().getOrDefault(id, 0L)
                          > base.startedByTarget().getOrDefault(id, 0L));
      if (sample.nanos() - base.nanos() > 0 && started) {
        return sample.nanos();
      }
    }
    return -1;
  }
}
