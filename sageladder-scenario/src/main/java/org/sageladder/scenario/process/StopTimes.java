package org.sageladder.scenario.process;

import java.util.Locale;

/** How long processes took to end after a planned stop, and how many had to be killed. */
final class StopTimes {
  private int endedCount;
  private int killedCount;
  private long longestMillis;

  /** Records that a process has ended; one that was killed is recorded as such before. */
  synchronized void recordEnd(long millis) {
    endedCount++;
    longestMillis = Math.max(longestMillis, millis);
  }

  /** Records that a process is killed at the end of the grace period. */
  synchronized void recordKill() {
    killedCount++;
  }

  @Override
  public synchronized String toString() {
    return String.format(
        Locale.ROOT,
        "  %d stopped processes ended, the last %d ms after the signal; %d were killed then%n",
        endedCount,
        longestMillis,
        killedCount);
  }
}
