package org.sageladder.core.spread;

import java.time.Duration;

/**
 * Times of the relay's duty.
 *
 * @param timeToLive of the lease in the store
 * @param renewEvery how often the lease is renewed; a third of the time to live or less
 * @param silence how long a relay must be silent before another entry VM tries for the duty
 * @param rankStep how much longer each further candidate waits, so that they do not all try
 * @param actAfter how long relay and store must both be out of reach before one acts without lease
 */
public record RelaySettings(
    Duration timeToLive,
    Duration renewEvery,
    Duration silence,
    Duration rankStep,
    Duration actAfter) {
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
