package org.sageladder.bench.policy;

/** Served load and work done abroad: steered against naive central, local only, random, idle. */
public final class SteeringQuality {
  /** The steered one comes first. */
  private static final World.Policy[] POLICIES = World.Policy.values();

  private SteeringQuality() {}

  /** Runs the comparison; {@code --full} for more seeds and longer runs. */
  public static void main(String[] arguments) {
    int seeds = Report.isFull(arguments) ? 8 : 2;
    int seconds = Report.isFull(arguments) ? 240 : 150;
    double worst = 1;
    String[] names = {"steady 70 %", "surge x4 at 60 s", "swinging, 60 s"};
    for (String name : names) {
      double central = 0;
      double[] served = new double[POLICIES.length];
      double[] abroad = new double[POLICIES.length];
      double offered = 0;
      for (int seed = 1; seed <= seeds; seed++) {
        Setup setup = Setup.today(seed);
        Demand demand = demand(name, setup);
        Tally naive = NaiveCentral.run(setup, demand, seconds);
        central += naive.servedTotal();
        offered += naive.offeredTotal();
        for (int i = 0; i < POLICIES.length; i++) {
          Tally tally = World.run(setup, demand, POLICIES[i], seconds);
          served[i] += tally.servedTotal();
          abroad[i] += tally.servedAbroadTotal();
        }
      }
      Report.line(
          "%s: offered %.0f, naive central serves %.1f %%", name, offered, 100 * central / offered);
      for (int i = 0; i < POLICIES.length; i++) {
        Report.line(
            "  %-10s serves %5.1f %% of naive, %5.1f %% of it abroad",
            POLICIES[i], 100 * served[i] / central, 100 * abroad[i] / Math.max(1, served[i]));
      }
      worst = Math.min(worst, served[0] / central);
    }
    Report.end(
        worst >= 0.95,
        "steering-quality: %.1f %% of naive central's served load in the worst pattern (aim >= 95 %%)",
        100 * worst);
  }

  private static Demand demand(String name, Setup setup) {
    return switch (name.charAt(1)) {
      case 't' -> Demand.steady(setup, 0.7);
      case 'u' -> Demand.surge(setup, 0.4, 4, 60);
      default -> Demand.swinging(setup, 60);
    };
  }
}
