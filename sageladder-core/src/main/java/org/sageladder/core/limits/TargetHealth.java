package org.sageladder.core.limits;

import java.time.Duration;
import org.sageladder.core.contract.Contract;

/**
 * Health of one target as seen by the requests of one gate. It takes precedence over the target's
 * own load reports.
 *
 * <p>A cold target goes through a slow start: it begins with one slot and gets another with each
 * complete response. A refusal halves the slots; consecutive failures reduce them to one. Both
 * eject the target, that is, stop new requests, for a time that doubles while they continue. The
 * first request after an ejection is a probe: a broken target that reports itself healthy costs one
 * request per ejection, not one per slot.
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

  private TargetHealth(long initialEjectionNanos) {
    this.initialEjectionNanos = initialEjectionNanos;
    this.ejectionNanos = initialEjectionNanos;
  }

  static TargetHealth ofColdTarget(Contract.Service service) {
    double millis = Math.max(10, service.meanServiceMillis());
    return new TargetHealth(Math.min(MAX_EJECTION_NANOS, (long) (millis * 1_000_000)));
  }

  /** Skips the slow start: the target is warm, since another gate sent it requests until now. */
  void skipSlowStart(int slots) {
    concurrencyLimit = Math.max(concurrencyLimit, slots);
  }

  /** Slots out of {@code maxSlots} that may be in use now. */
  int concurrencyLimit(int maxSlots, long nowNanos) {
    if (isEjected(nowNanos)) {
      return 0;
    }
    return (int) Math.min(maxSlots, concurrencyLimit);
  }

  boolean isEjected(long nowNanos) {
    return ejected && nowNanos - ejectedUntilNanos < 0;
  }

  long ejectedUntilNanos() {
    return ejectedUntilNanos;
  }

  void recordCompletion(Admission.Completion completion, int maxSlots, long nowNanos) {
    switch (completion) {
      case ANSWERED -> recordSuccess(maxSlots);
      case REFUSED -> eject(Math.max(1, concurrencyLimit / 2), nowNanos);
      case LOST, TIMEOUT -> recordFailure(nowNanos);
      default -> {
        // The other results say nothing about the health of the target.
      }
    }
  }

  private void recordSuccess(int maxSlots) {
    consecutiveFailures = 0;
    ejectionNanos = initialEjectionNanos;
    ejected = false;
    concurrencyLimit = Math.min(maxSlots, concurrencyLimit + 1);
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
