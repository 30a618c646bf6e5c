package org.sageladder.bench.policy;

/**
 * Simulates a tenfold rise of the demand in one region within a second, with zone summaries 5 s
 * late.
 */
public final class Surge {
  private static final ClusterSimulation.Policy[] POLICIES = {
    ClusterSimulation.Policy.STEERED, ClusterSimulation.Policy.IDLE_SLOTS
  };

  private Surge() {}

  /** Runs the simulation; {@code --full} for more seeds. */
  public static void main(String[] arguments) {
    int seeds = ResultPrinter.isFullRun(arguments) ? 10 : 3;
    int seconds = 180;
    int[] reversals = new int[POLICIES.length];
    long violations = 0;
    double[] served = new double[POLICIES.length];
    double centralServed = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      Setup setup = Setup.typical(seed).withSummaryDelay(5_000);
      Demand demand = Demand.surge(setup, 0.15, 10, 60);
      centralServed += NaiveCentralPolicy.run(setup, demand, seconds).servedCount();
      for (int i = 0; i < POLICIES.length; i++) {
        ClusterSimulation simulation = new ClusterSimulation(setup, demand, POLICIES[i]);
        simulation.run(seconds);
        reversals[i] += simulation.oscillationCounter().reversalCount();
        served[i] += simulation.admissionLog().servedCount();
        violations += violationCount(simulation);
      }
    }
    ResultPrinter.printLine(
        "%d seeds, %d s each, demand x10 on region 0 at 60 s, readings 5 s late", seeds, seconds);
    for (int i = 0; i < POLICIES.length; i++) {
      ResultPrinter.printLine(
          "  %-10s serves %5.1f %% of naive central, weights turn %d times",
          POLICIES[i], 100 * served[i] / centralServed, reversals[i]);
    }
    ResultPrinter.printLine(
        "  regions over capacity, targets over slots, caps broken: %d", violations);
    ResultPrinter.printResultAndExit(
        violations == 0 && reversals[0] < reversals[1],
        "surge: %d limits broken, %d weight turns against %d of the first policy (aim 0 broken, fewer turns)",
        violations,
        reversals[0],
        reversals[1]);
  }

  private static long violationCount(ClusterSimulation simulation) {
    AdmissionLog admissionLog = simulation.admissionLog();
    return admissionLog.slotViolationCount()
        + admissionLog.capViolationCount(simulation.nowNanos())
        + admissionLog.overCapacityWindowCount(simulation.nowNanos());
  }
}
