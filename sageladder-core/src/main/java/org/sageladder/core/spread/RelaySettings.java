package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Times of the relay's duty.
 *
 * @param leaseTimeToLive of the lease in the store
 * @param renewInterval how often the lease is renewed; a third of the time to live or less
 * @param silenceTimeout how long a relay must be silent before another entry VM tries for the duty
 * @param rankDelay how much longer each further candidate waits, so that they do not all try
 * @param actingDelay how long relay and store must both be out of reach before one acts without
 *     lease
 */
public record RelaySettings(
    Duration leaseTimeToLive,
    Duration renewInterval,
    Duration silenceTimeout,
    Duration rankDelay,
    Duration actingDelay) {
  /** Times that bring a new relay within about four seconds of the old one's death. */
  public static RelaySettings standard() {
    return new RelaySettings(
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        Duration.ofMillis(1_500),
        Duration.ofMillis(700),
        Duration.ofMillis(3_500));
  }
}
