package org.sageladder.bench.policy;

/**
 * Compares the load served, and the fraction served in another region, by steering, the naive
 * central policy, local-only, random and idle-slot selection.
 */
public final class SteeringQuality {
  /** The steered policy must be the first element. */
  private static final ClusterSimulation.Policy[] POLICIES = ClusterSimulation.Policy.values();

  private SteeringQuality() {}

  /** Runs the comparison; {@code --full} for more seeds and longer runs. */
  public static void main(String[] arguments) {
    int seeds = ResultPrinter.isFullRun(arguments) ? 8 : 2;
    int seconds = ResultPrinter.isFullRun(arguments) ? 240 : 150;
    double minServedFraction = 1;
    String[] names = {"steady 70 %", "surge x4 at 60 s", "swinging, 60 s"};
    for (String name : names) {
      double centralServed = 0;
      double[] served = new double[POLICIES.length];
      double[] servedRemote = new double[POLICIES.length];
      double offered = 0;
      for (int seed = 1; seed <= seeds; seed++) {
        Setup setup = Setup.typical(seed);
        Demand demand = demand(name, setup);
        AdmissionLog centralLog = NaiveCentralPolicy.run(setup, demand, seconds);
        centralServed += centralLog.servedCount();
        offered += centralLog.offeredCount();
        for (int i = 0; i < POLICIES.length; i++) {
          AdmissionLog admissionLog = ClusterSimulation.run(setup, demand, POLICIES[i], seconds);
          served[i] += admissionLog.servedCount();
          servedRemote[i] += admissionLog.servedRemoteCount();
        }
      }
      ResultPrinter.printLine(
          "%s: offered %.0f, naive central serves %.1f %%",
          name, offered, 100 * centralServed / offered);
      for (int i = 0; i < POLICIES.length; i++) {
        ResultPrinter.printLine(
            "  %-10s serves %5.1f %% of naive, %5.1f %% of it abroad",
            POLICIES[i],
            100 * served[i] / centralServed,
            100 * servedRemote[i] / Math.max(1, served[i]));
      }
      minServedFraction = Math.min(minServedFraction, served[0] / centralServed);
    }
    ResultPrinter.printResultAndExit(
        minServedFraction >= 0.95,
        "steering-quality: %.1f %% of naive central's served load in the worst pattern (aim >= 95 %%)",
        100 * minServedFraction);
  }

  private static Demand demand(String name, Setup setup) {
    return switch (name.charAt(1)) {
      case 't' -> Demand.steady(setup, 0.7);
      case 'u' -> Demand.surge(setup, 0.4, 4, 60);
      default -> Demand.swinging(setup, 60);
    };
  }
}
