package org.sageladder.bench.policy;

/** Requests per second sent by the callers of a region at a given time. */
@FunctionalInterface
interface Demand {
  double requestsPerSecond(int region, double second);

  /** Constant demand of {@code loadFraction} of each region's capacity. */
  static Demand steady(Setup setup, double loadFraction) {
    return (region, second) -> loadFraction * setup.regionCapacityPerSecond();
  }

  /**
   * As {@link #steady}, but region 0 ramps up to {@code factor} times that rate within one second
   * from {@code fromSecond} on.
   */
  static Demand surge(Setup setup, double loadFraction, double factor, double fromSecond) {
    return (region, second) -> {
      double baseRate = loadFraction * setup.regionCapacityPerSecond();
      double rampFraction = Math.max(0, Math.min(1, second - fromSecond));
      return region == 0 ? baseRate * (1 + (factor - 1) * rampFraction) : baseRate;
    };
  }

  /**
   * Sinusoidal demand between 10 % and 150 % of each region's capacity, with a different phase in
   * each region.
   */
  static Demand swinging(Setup setup, double periodSeconds) {
    return (region, second) -> {
      double phase = 2 * Math.PI * (second / periodSeconds + (double) region / setup.regionCount());
      return setup.regionCapacityPerSecond() * (0.8 + 0.7 * Math.sin(phase));
    };
  }
}
