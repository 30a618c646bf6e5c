package org.sageladder.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;

/**
 * Checks the contract's caps on shifts from what targets really started.
 *
 * <p>No window may hold more starts than the one before it plus the gain allowed. A start follows
 * its admission by a little, so 5 % of the gain and two requests are let pass.
 */
final class ShiftCapCheck {
  private static final double SLACK_FRACTION = 0.05;
  private static final int SLACK_REQUESTS = 2;

  private final List<Sample> samples = new ArrayList<>();

  /** Requests started by each target up to a moment. */
  private record Sample(long nanos, Map<String, Long> startedByTarget) {}

  synchronized void recordSample(Map<String, Long> started) {
    samples.add(new Sample(System.nanoTime(), started));
  }

  /**
   * The largest share of the allowed gain that was used.
   *
   * @param scope what was grown toward
   * @param nanos end of the window that grew, on this process's clock
   */
  record CapUsage(double fraction, String scope, long nanos) {}

  /** Largest share of the allowed gain that was used toward {@code targets} together. */
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

  /** When any of {@code targets} first started a request after {@code nanos}; -1 where none did. */
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
