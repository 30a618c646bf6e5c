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
  private static final double SLACK = 0.05;
  private static final int SLACK_REQUESTS = 2;

  private final List<Sample> samples = new ArrayList<>();

  /** Requests started by each target up to a moment. */
  private record Sample(long nanos, Map<String, Long> started) {}

  synchronized void sample(Map<String, Long> started) {
    samples.add(new Sample(System.nanoTime(), started));
  }

  /**
   * The largest share of the allowed gain that was used.
   *
   * @param place what was grown toward
   * @param nanos end of the window that grew, on this process's clock
   */
  record Used(double share, String place, long nanos) {}

  /** Largest share of the allowed gain that was used toward {@code targets} together. */
  synchronized Used used(
      String place, List<String> targets, Contract.ShiftCap cap, double capacityPerSecond) {
    ToLongFunction<Sample> count =
        sample -> targets.stream().mapToLong(id -> sample.started().getOrDefault(id, 0L)).sum();
    long window = cap.window().toNanos();
    double allowed = cap.gainFraction() * capacityPerSecond * window / 1e9;
    Used worst = new Used(0, place, System.nanoTime());
    for (Sample end : samples) {
      Sample middle = atOrAfter(end.nanos() - window);
      Sample start = atOrBefore(end.nanos() - 2 * window);
      if (start == null) {
        continue;
      }
      long recent = count.applyAsLong(end) - count.applyAsLong(middle);
      long before = count.applyAsLong(middle) - count.applyAsLong(start);
      double grown = recent - before - SLACK * allowed - SLACK_REQUESTS;
      if (grown / allowed > worst.share()) {
        worst = new Used(grown / allowed, place, end.nanos());
      }
    }
    return worst;
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
                      sample.started().getOrDefault(id, 0L) > base.started().getOrDefault(id, 0L));
      if (sample.nanos() - base.nanos() > 0 && started) {
        return sample.nanos();
      }
    }
    return -1;
  }
}
