package org.sageladder.bench.policy;

/** Requests a second that the callers of a region want at a moment. */
@FunctionalInterface
interface Demand {
  double requestsPerSecond(int region, double second);

  /** Steady everywhere at {@code part} of each region's capacity. */
  static Demand steady(Setup setup, double loadFraction) {
    return (region, second) -> loadFraction * setup.regionCapacityPerSecond();
  }

  /** As {@link #steady}, and in region 0 {@code factor} times as much from {@code from} on. */
  static Demand surge(Setup setup, double loadFraction, double factor, double fromSecond) {
    return (region, second) -> {
      double baseRate = loadFraction * setup.regionCapacityPerSecond();
      double rampFraction = Math.max(0, Math.min(1, second - fromSecond));
      return region == 0 ? baseRate * (1 + (factor - 1) * rampFraction) : baseRate;
    };
  }

  /** Each region swings between 10 % and 150 % of its capacity, at different times. */
  static Demand swinging(Setup setup, double periodSeconds) {
    return (region, second) -> {
      double phase = 2 * Math.PI * (second / periodSeconds + (double) region / setup.regionCount());
      return setup.regionCapacityPerSecond() * (0.8 + 0.7 * Math.sin(phase));
    };
  }
}
