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
 * @param interference how other work on their machines slows targets down
 */
public record TargetTraits(
    int slots,
    int maxQueueLength,
    int cacheCapacity,
    double cachedTimeFraction,
    long coldMillis,
    double coldRequestsPerSecond,
    long idleTimeoutMillis,
    Interference interference) {
  /**
   * Other work on the machines of targets, which slows runs that begin meanwhile. Targets with
   * interference state their momentary run time, in percent of the usual one, as a fourth figure of
   * their load.
   *
   * @param fraction fraction of the time in which a machine is slow; 0 for none
   * @param factor run time on a slow machine as a multiple of the usual one
   * @param periodMillis mean time between two changes
   */
  public record Interference(double fraction, double factor, long periodMillis) {
    /** Machines of constant speed. */
    public static Interference none() {
      return new Interference(0, 1, 0);
    }

    boolean isPresent() {
      return fraction > 0;
    }
  }

  /** Traits of targets on machines of constant speed. */
  public TargetTraits(
      int slots,
      int maxQueueLength,
      int cacheCapacity,
      double cachedTimeFraction,
      long coldMillis,
      double coldRequestsPerSecond,
      long idleTimeoutMillis) {
    this(
        slots,
        maxQueueLength,
        cacheCapacity,
        cachedTimeFraction,
        coldMillis,
        coldRequestsPerSecond,
        idleTimeoutMillis,
        Interference.none());
  }

  /** Returns the traits of the users' targets. */
  public static TargetTraits standard() {
    return new TargetTraits(3, 9, 25, 0.3, 3_000, 3.1, 10_000);
  }

  /** Returns the same traits with {@code newInterference}. */
  public TargetTraits withInterference(Interference newInterference) {
    return new TargetTraits(
        slots,
        maxQueueLength,
        cacheCapacity,
        cachedTimeFraction,
        coldMillis,
        coldRequestsPerSecond,
        idleTimeoutMillis,
        newInterference);
  }
}
