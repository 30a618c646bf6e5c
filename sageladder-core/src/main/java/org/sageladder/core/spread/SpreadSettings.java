package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Settings of a {@link Spreader}.
 *
 * @param bytesPerSecond byte budget for traffic that can wait: summaries, notices and repairs
 * @param burstBytes maximum number of bytes sent in a burst after an idle time
 * @param repairInterval mean time between two digest comparisons with a random peer
 * @param batchDelay how long non-urgent items are collected before they are sent together. An item
 *     that the neighbour sends in this time is not sent back to it.
 * @param quietPeriod how long after a change no digests are compared, since the change is still
 *     being propagated
 * @param maxPushBytes maximum number of item bytes in one message, unless a single item is larger
 * @param maxItems maximum number of keys kept
 */
public record SpreadSettings(
    double bytesPerSecond,
    double burstBytes,
    Duration repairInterval,
    Duration batchDelay,
    Duration quietPeriod,
    int maxPushBytes,
    int maxItems) {

  /**
   * Default settings: 5 of the 7 KB per second that a node may use for control traffic; heartbeats
   * use the rest.
   */
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
