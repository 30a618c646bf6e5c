package org.sageladder.core.limits;

import java.time.Duration;
import org.sageladder.core.contract.Contract;

/**
 * What a gate learned of one target from its own requests, which counts for more than the target's
 * reports.
 *
 * <p>A cold target starts with one slot and gets one more with each whole answer. A refusal halves
 * the slots, failures in a row leave one; both stop new work for a pause that doubles while they
 * last. The request after a pause is the probe: a target said to be well that is not costs one
 * request a pause, not a slot full of them.
 */
final class TargetExperience {
  private static final long LONGEST_PAUSE_NANOS = Duration.ofSeconds(4).toNanos();
  private static final int FAILURES_THAT_PAUSE = 2;

  private final long firstPauseNanos;
  private double limit = 1;
  private int failuresInRow;
  private long pauseNanos;
  private long pausedUntilNanos;
  private boolean paused;

  private TargetExperience(long firstPauseNanos) {
    this.firstPauseNanos = firstPauseNanos;
    this.pauseNanos = firstPauseNanos;
  }

  static TargetExperience ofColdTarget(Contract.Service service) {
    double millis = Math.max(10, service.meanServiceMillis());
    return new TargetExperience(Math.min(LONGEST_PAUSE_NANOS, (long) (millis * 1_000_000)));
  }

  /** Skips the slow start: another gate gave the target work until now. */
  void trustWarmTarget(int slots) {
    limit = Math.max(limit, slots);
  }

  /** Slots of {@code most} that may be in use now. */
  int limit(int most, long nowNanos) {
    if (isPaused(nowNanos)) {
      return 0;
    }
    return (int) Math.min(most, limit);
  }

  boolean isPaused(long nowNanos) {
    return paused && nowNanos - pausedUntilNanos < 0;
  }

  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  void learn(Admission.Completion completion, int most, long nowNanos) {
    switch (completion) {
      case ANSWERED -> answered(most);
      case REFUSED -> pause(Math.max(1, limit / 2), nowNanos);
      case LOST, TIMEOUT -> failed(nowNanos);
      default -> {
        // The others say nothing about how well the target carries work.
      }
    }
  }

  private void answered(int most) {
    failuresInRow = 0;
    pauseNanos = firstPauseNanos;
    paused = false;
    limit = Math.min(most, limit + 1);
  }

  private void failed(long nowNanos) {
    failuresInRow++;
    if (failuresInRow >= FAILURES_THAT_PAUSE) {
      pause(1, nowNanos);
    }
  }

  private void pause(double newLimit, long nowNanos) {
    limit = newLimit;
    if (isPaused(nowNanos)) {
      return;
    }
    paused = true;
    pausedUntilNanos = nowNanos + pauseNanos;
    pauseNanos = Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
  }
}
