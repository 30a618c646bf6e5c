package org.sageladder.forward;

import org.jspecify.annotations.Nullable;

/** The time by which one request must be answered, and when its caller may return if refused. */
final class RequestDeadline {
  /** Upper bound on the suggested retry delay, as a fraction of the remaining time. */
  private static final double MAX_RETRY_AFTER_FRACTION = 0.33;

  private static final double MIN_RETRY_AFTER_FACTOR = 0.75;
  private static final double MAX_RETRY_AFTER_FACTOR = 1 + MIN_RETRY_AFTER_FACTOR;

  /** A response is sent this long before the caller's deadline, to arrive in time. */
  private static final long RESPONSE_MARGIN_MILLIS = 20;

  private final Loop loop;
  private long atMillis = Long.MAX_VALUE;
  private Loop.@Nullable Timer timer;

  RequestDeadline(Loop loop) {
    this.loop = loop;
  }

  /**
   * Starts the time that a request has, by its route and its caller; {@code onExpired} runs at its
   * end, unless the deadline is cancelled before.
   *
   * @param callerMillis how long the caller waits, or a negative number if it does not say
   */
  void start(long routeMillis, long callerMillis, Runnable onExpired) {
    long millis = routeMillis;
    if (callerMillis >= 0) {
      millis = Math.min(millis, Math.max(0, callerMillis - RESPONSE_MARGIN_MILLIS));
    }
    atMillis = loop.nowMillis() + millis;
    timer = loop.schedule(millis, onExpired);
  }

  /** Milliseconds until the request must be answered. */
  long remainingMillis() {
    return Math.max(0, atMillis - loop.nowMillis());
  }

  /** The request is answered, or will be at once. */
  void cancel() {
    Loop.Timer current = timer;
    timer = null;
    if (current != null) {
      current.cancel();
    }
  }

  /**
   * Multiplies a retry delay by a random factor from 0.75 to 1.75, so that callers refused together
   * do not return together. A delay too long for the remaining time is shortened before, not cut
   * off: otherwise all those callers would return after the longest delay possible.
   *
   * @param randomFraction a random number between 0 and 1
   */
  long retryAfterMillis(long millis, double randomFraction) {
    double maxMillis =
        atMillis == Long.MAX_VALUE
            ? Double.MAX_VALUE
            : (double) remainingMillis() * MAX_RETRY_AFTER_FRACTION / MAX_RETRY_AFTER_FACTOR;
    return Math.round(
        Math.min((double) millis, maxMillis) * (MIN_RETRY_AFTER_FACTOR + randomFraction));
  }
}
