package org.sageladder.bench.policy;

/** Requests a second that the callers of a region want at a moment. */
@FunctionalInterface
interface Demand {
  double perSecond(int region, double second);

  /** Steady everywhere at {@code part} of each region's capacity. */
  static Demand steady(Setup setup, double part) {
    return (region, second) -> part * setup.regionCapacity();
  }

  /** As {@link #steady}, and in region 0 {@code factor} times as much from {@code from} on. */
  static Demand surge(Setup setup, double part, double factor, double from) {
    return (region, second) -> {
      double base = part * setup.regionCapacity();
      double rise = Math.max(0, Math.min(1, second - from));
      return region == 0 ? base * (1 + (factor - 1) * rise) : base;
    };
  }

  /** Each region swings between 10 % and 150 % of its capacity, at different times. */
  static Demand swinging(Setup setup, double periodSeconds) {
    return (region, second) -> {
      double phase = 2 * Math.PI * (second / periodSeconds + (double) region / setup.regions());
      return setup.regionCapacity() * (0.8 + 0.7 * Math.sin(phase));
    };
  }
}
