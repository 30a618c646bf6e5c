package org.sageladder.bench.policy;

/**
 * What a region's gain loses by being divided over gates once and for all: the same targets behind
 * many gates with a share each, and behind one gate with the whole.
 *
 * <p>Lending between gates could win back at most this difference. Targets may grow by all their
 * capacity, so that only the shares bind.
 */
public final class Shares {
  private static final double REGION_GAIN = 0.2;
  private static final double MOST_LOST = 0.02;

  private Shares() {}

  /** Runs the comparison; {@code --full} for more seeds. */
  public static void main(String[] arguments) {
    int seeds = Report.isFull(arguments) ? 10 : 3;
    double today = lost("today: 4 gates of 1 target a region", 2, 2, 1, 60, seeds);
    double large = lost("96 gates of 1 target a region", 4, 24, 1, 30, 1);
    double worst = Math.max(today, large);
    Report.end(
        worst <= MOST_LOST,
        "shares: %.1f %% of the load lost by static shares in the worst pattern (aim <= %.0f %%)",
        100 * worst,
        100 * MOST_LOST);
  }

  private static double lost(
      String name, int zones, int vms, int targetsPerVm, int seconds, int seeds) {
    double worst = 0;
    for (String pattern : new String[] {"steady 90 %", "surge x6 at 20 s", "swinging, 40 s"}) {
      double shares = 0;
      double whole = 0;
      for (int seed = 1; seed <= seeds; seed++) {
        Setup many =
            Setup.today(seed)
                .withCap(REGION_GAIN, 10)
                .withTargetGain(1)
                .withGates(zones, vms, targetsPerVm);
        Setup one = many.withGates(1, 1, zones * vms * targetsPerVm);
        Demand demand = demand(pattern, many);
        shares += World.run(many, demand, World.Policy.STEERED, seconds).servedTotal();
        whole += World.run(one, demand, World.Policy.STEERED, seconds).servedTotal();
      }
      Report.line("%s, %s: shares serve %.1f %% of the whole", name, pattern, 100 * shares / whole);
      worst = Math.max(worst, 1 - shares / whole);
    }
    return worst;
  }

  private static Demand demand(String pattern, Setup setup) {
    return switch (pattern.charAt(1)) {
      case 't' -> Demand.steady(setup, 0.9);
      case 'u' -> Demand.surge(setup, 0.3, 6, 20);
      default -> Demand.swinging(setup, 40);
    };
  }
}
