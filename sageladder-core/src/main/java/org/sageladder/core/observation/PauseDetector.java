package org.sageladder.core.observation;

/**
 * Detects that this process did not run for a while, so that what it reads now may be old.
 *
 * <p>While a process is stopped, a timer becomes overdue. While a machine is suspended, the
 * monotonic clock stands still and only the wall clock moves on.
 */
final class PauseDetector {
  /** Longer than the delay of the event loop on a busy VM. */
  private static final long MAX_DELAY_MILLIS = 500;

  private static final long NOT_SCHEDULED = Long.MAX_VALUE;

  private long timerDueMillis = NOT_SCHEDULED;
  private long wallOffsetMillis;

  PauseDetector(long nowMillis, long wallMillis) {
    wallOffsetMillis = wallMillis - nowMillis;
  }

  /** Records that a timer will run at {@code dueMillis}. */
  void expectTimerAt(long dueMillis) {
    timerDueMillis = dueMillis;
  }

  /** Records that the timer has run. */
  void clearTimer() {
    timerDueMillis = NOT_SCHEDULED;
  }

  /** Returns true if the process has paused since the last call; reports each pause once. */
  boolean hasPaused(long nowMillis, long wallMillis) {
    long offsetMillis = wallMillis - nowMillis;
    boolean wasSuspended = offsetMillis - wallOffsetMillis > MAX_DELAY_MILLIS;
    boolean wasStopped = nowMillis - MAX_DELAY_MILLIS > timerDueMillis;
    wallOffsetMillis = offsetMillis;
    if (wasStopped) {
      timerDueMillis = NOT_SCHEDULED;
    }
    return wasSuspended || wasStopped;
  }
}
