package org.sageladder.standin.platform;

/**
 * Capacity and timing of a service's targets.
 *
 * @param slots number of requests that run at the same time
 * @param maxQueueLength number of requests that may wait for a slot; further ones are refused
 * @param cacheCapacity number of most recently used objects that a target caches
 * @param cachedTimeFraction run time for a cached object as a fraction of the uncached one
 * @param coldMillis time after its start during which a target is slow
 * @param coldRequestsPerSecond request rate that a cold target can handle
 * @param idleTimeoutMillis keep-alive timeout that targets announce for idle connections
 */
public record TargetTraits(
    int slots,
    int maxQueueLength,
    int cacheCapacity,
    double cachedTimeFraction,
    long coldMillis,
    double coldRequestsPerSecond,
    long idleTimeoutMillis) {
  /** Returns the traits of the users' targets. */
  public static TargetTraits standard() {
    return new TargetTraits(3, 9, 25, 0.3, 3_000, 3.1, 10_000);
  }
}
