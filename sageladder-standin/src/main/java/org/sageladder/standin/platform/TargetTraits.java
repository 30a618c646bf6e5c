package org.sageladder.standin.platform;

/**
 * What a service's targets are like.
 *
 * @param slots requests that run at once
 * @param maxQueueLength requests that wait for a slot; further ones are refused
 * @param cacheCapacity objects that a target remembers, the latest ones
 * @param cachedTimeFraction part of the work that a run of a remembered object takes
 * @param coldMillis time for which a target that has started is slow
 * @param coldRequestsPerSecond requests a second that it bears meanwhile
 * @param idleTimeoutMillis idle connections are closed after this time
 */
public record TargetTraits(
    int slots,
    int maxQueueLength,
    int cacheCapacity,
    double cachedTimeFraction,
    long coldMillis,
    double coldRequestsPerSecond,
    long idleTimeoutMillis) {
  /** Targets as the users have them. */
  public static TargetTraits standard() {
    return new TargetTraits(3, 9, 25, 0.3, 3_000, 3.1, 10_000);
  }
}
