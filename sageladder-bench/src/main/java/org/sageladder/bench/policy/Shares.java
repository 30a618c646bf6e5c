package org.sageladder.bench.policy;

/**
 * Measures the load lost by dividing a region's allowed gain statically among its gates, by
 * comparing the same targets behind many gates with a share each and behind a single gate with the
 * entire gain.
 *
 * <p>This difference is the most that lending between gates could recover. Targets may grow by
 * their full capacity, so that only the region shares limit admission.
 */
public final class Shares {
  private static final double REGION_GAIN_FRACTION = 0.2;
  private static final double MAX_LOST_FRACTION = 0.02;

  private Shares() {}

  /** Runs the comparison; {@code --full} for more seeds. */
  public static void main(String[] arguments) {
    int seeds = ResultPrinter.isFullRun(arguments) ? 10 : 3;
    double lostAtCurrentSize =
        maxLostFraction("today: 4 gates of 1 target a region", 2, 2, 1, 60, seeds);
    double lostAtLargeSize = maxLostFraction("96 gates of 1 target a region", 4, 24, 1, 30, 1);
    double maxLost = Math.max(lostAtCurrentSize, lostAtLargeSize);
    ResultPrinter.printResultAndExit(
        maxLost <= MAX_LOST_FRACTION,
        "shares: %.1f %% of the load lost by static shares in the worst pattern (aim <= %.0f %%)",
        100 * maxLost,
        100 * MAX_LOST_FRACTION);
  }

  private static double maxLostFraction(
      String name, int zonesPerRegion, int vmsPerZone, int targetsPerVm, int seconds, int seeds) {
    double maxLost = 0;
    for (String pattern : new String[] {"steady 90 %", "surge x6 at 20 s", "swinging, 40 s"}) {
      double servedWithShares = 0;
      double servedByOneGate = 0;
      for (int seed = 1; seed <= seeds; seed++) {
        Setup manyGates =
            Setup.typical(seed)
                .withShiftCaps(REGION_GAIN_FRACTION, 10)
                .withTargetGainFraction(1)
                .withGates(zonesPerRegion, vmsPerZone, targetsPerVm);
        Setup oneGate = manyGates.withGates(1, 1, zonesPerRegion * vmsPerZone * targetsPerVm);
        Demand demand = demand(pattern, manyGates);
        servedWithShares +=
            ClusterSimulation.run(manyGates, demand, ClusterSimulation.Policy.STEERED, seconds)
                .servedCount();
        servedByOneGate +=
            ClusterSimulation.run(oneGate, demand, ClusterSimulation.Policy.STEERED, seconds)
                .servedCount();
      }
      ResultPrinter.printLine(
          "%s, %s: shares serve %.1f %% of the whole",
          name, pattern, 100 * servedWithShares / servedByOneGate);
      maxLost = Math.max(maxLost, 1 - servedWithShares / servedByOneGate);
    }
    return maxLost;
  }

  private static Demand demand(String pattern, Setup setup) {
    return switch (pattern.charAt(1)) {
      case 't' -> Demand.steady(setup, 0.9);
      case 'u' -> Demand.surge(setup, 0.3, 6, 20);
      default -> Demand.swinging(setup, 40);
    };
  }
}
