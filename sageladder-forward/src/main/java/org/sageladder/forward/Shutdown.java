package org.sageladder.forward;

/**
 * Whether a forwarder is being shut down, and which requests it may still send on without cutting
 * them off.
 */
final class Shutdown {
  /** A caller refused by a stopping VM can retry at another one at once. */
  static final long RETRY_AFTER_MILLIS = 20;

  static final String REFUSAL_REASON = "not enough time before the shutdown";

  /** Ratio of the actual to the estimated run time that is allowed for. */
  private static final double RUN_TIME_SAFETY_FACTOR = 2;

  private final Loop loop;
  private boolean hasBegun;
  private long signalMillis;
  private long endMillis;

  Shutdown(Loop loop) {
    this.loop = loop;
  }

  /**
   * Begins the shutdown, or changes its end.
   *
   * @param newSignalMillis when the stop signal came
   * @param newEndMillis when requests must have ended for certain to be sent on
   */
  void begin(long newSignalMillis, long newEndMillis) {
    hasBegun = true;
    signalMillis = newSignalMillis;
    endMillis = newEndMillis;
  }

  boolean hasBegun() {
    return hasBegun;
  }

  /**
   * True if a request that has {@code remainingMillis} until its deadline may be sent on. One that
   * arrived after the stop signal, or must not run twice, must end in time for certain: its caller
   * can use another VM at once, and an estimate does not bound a run.
   *
   * @param arrivedMillis when the request arrived
   */
  boolean permits(boolean isIdempotent, long arrivedMillis, long remainingMillis) {
    if (!hasBegun || endsInTime(remainingMillis)) {
      return true;
    }
    return isIdempotent && arrivedMillis < signalMillis;
  }

  /** True if a request ends in time, at the latest by its deadline, or by its estimate. */
  boolean permits(long remainingMillis, double estimatedMillis) {
    return !hasBegun
        || endsInTime(remainingMillis)
        || loop.nowMillis() + RUN_TIME_SAFETY_FACTOR * estimatedMillis < endMillis;
  }

  private boolean endsInTime(long remainingMillis) {
    return loop.nowMillis() + remainingMillis <= endMillis;
  }
}
