package org.sageladder.forward;

/**
 * When the steps of a planned stop are due, in milliseconds after the stop signal.
 *
 * <p>An event loop that is late runs each step late by about its delay, so that steps are due
 * earlier by that much. With a grace period of 6,000 ms and a delay of 2,000 ms, requests must have
 * their deadline within 3,450 ms after the signal to be sent on, and those in flight end after
 * 5,000 ms.
 *
 * @param listenMillis when the port closes
 * @param admissionMillis when requests must have ended for certain to be sent on
 * @param responseMillis when requests that are left get a response
 * @param exitMillis when the process exits, even if callers still read
 */
record ShutdownSchedule(
    long listenMillis, long admissionMillis, long responseMillis, long exitMillis) {
  /**
   * Time for which the port stays open. Readiness is probed each second and look-up results are
   * cached for two seconds, so that after this time no caller that respects its look-up connects
   * any more.
   */
  private static final long LISTEN_MILLIS = 3_000;

  /** Time to write the last log lines and to end the process. */
  private static final long EXIT_MARGIN_MILLIS = 300;

  /** Time for the last responses to reach their callers. */
  private static final long DELIVERY_MARGIN_MILLIS = 250;

  /** Runs that last into this last part of the grace period may be broken off. */
  private static final double MAX_RESPONSE_MARGIN_FRACTION = 1.0 / 6;

  /** Bounds what a delay costs callers, who may have no other entry VM nearby. */
  private static final double MAX_ADMISSION_MARGIN_FRACTION = 0.5;

  /** Shares the last part of a short grace period between responses and exit. */
  private static final double MAX_EXIT_MARGIN_FRACTION = 1.0 / 12;

  /**
   * Plans the steps.
   *
   * @param graceMillis time from the stop signal until the process is killed
   * @param loopDelayMillis how late the event loop has been recently
   */
  static ShutdownSchedule of(long graceMillis, long loopDelayMillis) {
    long marginMillis = EXIT_MARGIN_MILLIS + DELIVERY_MARGIN_MILLIS + loopDelayMillis;
    long responseMillis =
        graceMillis - atMost(marginMillis, graceMillis, MAX_RESPONSE_MARGIN_FRACTION);
    return new ShutdownSchedule(
        Math.min(LISTEN_MILLIS, responseMillis),
        graceMillis - atMost(marginMillis, graceMillis, MAX_ADMISSION_MARGIN_FRACTION),
        responseMillis,
        graceMillis - atMost(EXIT_MARGIN_MILLIS, graceMillis, MAX_EXIT_MARGIN_FRACTION));
  }

  private static long atMost(long millis, long graceMillis, double fraction) {
    return Math.min(millis, Math.round(graceMillis * fraction));
  }
}
