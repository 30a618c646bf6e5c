package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Random request arrivals, identical for all policies that are run with the same seed. */
final class Arrivals {
  static final int TICKS_PER_SECOND = 50;
  static final Duration TICK = Duration.ofMillis(1000 / TICKS_PER_SECOND);

  private final Setup setup;
  private final Demand demand;
  private final Random random;

  Arrivals(Setup setup, Demand demand) {
    this.setup = setup;
    this.demand = demand;
    this.random = new Random(setup.seed() * 31 + 7);
  }

  /** Draws the requests that arrive in one tick: the region of each caller, in random order. */
  List<Integer> drawCallerRegions(int tick) {
    List<Integer> callerRegions = new ArrayList<>();
    for (int region = 0; region < setup.regionCount(); region++) {
      double mean =
          demand.requestsPerSecond(region, (double) tick / TICKS_PER_SECOND) / TICKS_PER_SECOND;
      for (int i = drawPoisson(mean); i > 0; i--) {
        callerRegions.add(random.nextInt(callerRegions.size() + 1), region);
      }
    }
    return callerRegions;
  }

  private int drawPoisson(double mean) {
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int count = 0;
    while (product > limit) {
      product *= random.nextDouble();
      count++;
    }
    return count;
  }

  /** Draws a service time between 0.5 and 1.5 times the mean. */
  static Duration drawServiceTime(Setup setup, Random random) {
    return Duration.ofNanos((long) (setup.meanServiceMillis() * 1e6 * (0.5 + random.nextDouble())));
  }
}
