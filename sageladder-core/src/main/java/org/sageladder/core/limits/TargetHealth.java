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
final class TargetHealth {
  private static final long MAX_EJECTION_NANOS = Duration.ofSeconds(4).toNanos();
  private static final int EJECTION_FAILURE_COUNT = 2;

  private final long initialEjectionNanos;
  private double concurrencyLimit = 1;
  private int consecutiveFailures;
  private long ejectionNanos;
  private long ejectedUntilNanos;
  private boolean ejected;

  private TargetHealth(long firstPauseNanos) {
    this.initialEjectionNanos = firstPauseNanos;
    this.ejectionNanos = firstPauseNanos;
  }

  static TargetHealth ofColdTarget(Contract.Service service) {
    double millis = Math.max(10, service.meanServiceMillis());
    return new TargetHealth(Math.min(MAX_EJECTION_NANOS, (long) (millis * 1_000_000)));
  }

  /** Skips the slow start: another gate gave the target work until now. */
  void skipSlowStart(int slots) {
    concurrencyLimit = Math.max(concurrencyLimit, slots);
  }

  /** Slots of {@code most} that may be in use now. */
  int concurrencyLimit(int most, long nowNanos) {
    if (isEjected(nowNanos)) {
      return 0;
    }
    return (int) Math.min(most, concurrencyLimit);
  }

  boolean isEjected(long nowNanos) {
    return ejected && nowNanos - ejectedUntilNanos < 0;
  }

  long ejectedUntilNanos() {
    return ejectedUntilNanos;
  }

  void recordCompletion(Admission.Completion completion, int most, long nowNanos) {
    switch (completion) {
      case ANSWERED -> recordSuccess(most);
      case REFUSED -> eject(Math.max(1, concurrencyLimit / 2), nowNanos);
      case LOST, TIMEOUT -> recordFailure(nowNanos);
      default -> {
        // The others say nothing about how well the target carries work.
      }
    }
  }

  private void recordSuccess(int most) {
    consecutiveFailures = 0;
    ejectionNanos = initialEjectionNanos;
    ejected = false;
    concurrencyLimit = Math.min(most, concurrencyLimit + 1);
  }

  private void recordFailure(long nowNanos) {
    consecutiveFailures++;
    if (consecutiveFailures >= EJECTION_FAILURE_COUNT) {
      eject(1, nowNanos);
    }
  }

  private void eject(double newLimit, long nowNanos) {
    concurrencyLimit = newLimit;
    if (isEjected(nowNanos)) {
      return;
    }
    ejected = true;
    ejectedUntilNanos = nowNanos + ejectionNanos;
    ejectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * ejectionNanos);
  }
}
