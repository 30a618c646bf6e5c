package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Limits of one spreader.
 *
 * @param bytesPerSecond budget for what may wait: summaries, notices and repairs
 * @param burstBytes most that may be sent at once after a quiet time
 * @param repairInterval mean time between two comparisons with a random peer
 * @param batchDelay how long items that are not urgent are gathered before they are sent together,
 *     so that one that a neighbour sends meanwhile is not sent back to it
 * @param quietPeriod how long after a change nothing is compared, since the change is still on its
 *     way
 * @param maxPushBytes most bytes of items put in one message, unless one item alone is larger
 * @param maxItems most keys kept
 */
public record SpreadSettings(
    double bytesPerSecond,
    double burstBytes,
    Duration repairInterval,
    Duration batchDelay,
    Duration quietPeriod,
    int maxPushBytes,
    int maxItems) {

  /** 5 of the 7 KB a second a node may use for control; heartbeats take the rest. */
  public static SpreadSettings standard() {
    return new SpreadSettings(
        5_000,
        64 * 1024,
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        Duration.ofMillis(300),
        256 * 1024,
        8_192);
  }
}
