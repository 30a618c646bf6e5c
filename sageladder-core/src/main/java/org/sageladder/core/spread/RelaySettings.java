package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Timeouts and intervals of the relay election.
 *
 * @param leaseTimeToLive time to live of the lease in the store
 * @param renewInterval how often the lease is renewed; at most a third of its time to live
 * @param silenceTimeout how long a relay must be silent before another entry VM becomes a candidate
 * @param rankDelay additional wait of each further candidate, so that they do not all try at once
 * @param actingDelay how long relay and store must both be unreachable before a VM acts as relay
 *     without a lease
 */
public record RelaySettings(
    Duration leaseTimeToLive,
    Duration renewInterval,
    Duration silenceTimeout,
    Duration rankDelay,
    Duration actingDelay) {
  /**
   * Default settings, with which a new relay takes over within about four seconds of the old one's
   * death.
   */
  public static RelaySettings standard() {
    return new RelaySettings(
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        Duration.ofMillis(1_500),
        Duration.ofMillis(700),
        Duration.ofMillis(3_500));
  }
}
