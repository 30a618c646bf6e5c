package org.sageladder.bench.policy;

/**
 * Counts exceeded shift caps and slot limits, and the load served, in random runs with and without
 * faults.
 */
public final class Caps {
  private Caps() {}

  /** Runs the comparison; {@code --full} executes ten times as many runs. */
  public static void main(String[] arguments) {
    int runCount = ResultPrinter.isFullRun(arguments) ? 200 : 20;
    int secondsPerRun = 120;
    long capViolations = 0;
    long slotViolations = 0;
    double minServedFraction = 1;
    double servedCount = 0;
    double centralServedCount = 0;
    for (int seed = 1; seed <= runCount; seed++) {
      ClusterSimulation faultyRun = RandomRun.of(seed, secondsPerRun, true).runDistributed();
      capViolations += faultyRun.admissionLog().capViolationCount(faultyRun.nowNanos());
      slotViolations += faultyRun.admissionLog().slotViolationCount();
      RandomRun faultFreeRun = RandomRun.of(seed, secondsPerRun, false);
      ClusterSimulation faultFreeCluster = faultFreeRun.runDistributed();
      AdmissionLog centralLog = faultFreeRun.runCentral();
      capViolations +=
          faultFreeCluster.admissionLog().capViolationCount(faultFreeCluster.nowNanos());
      slotViolations += faultFreeCluster.admissionLog().slotViolationCount();
      servedCount += faultFreeCluster.admissionLog().servedCount();
      centralServedCount += centralLog.servedCount();
      minServedFraction =
          Math.min(
              minServedFraction,
              (double) faultFreeCluster.admissionLog().servedCount() / centralLog.servedCount());
    }
    ResultPrinter.printLine(
        "%d random runs with faults, %d without, %d s each", runCount, runCount, secondsPerRun);
    ResultPrinter.printLine(
        "  caps broken %d, targets over their slots %d", capViolations, slotViolations);
    ResultPrinter.printLine(
        "  without faults: %.1f %% of naive central served over all, %.1f %% in the worst run",
        100 * servedCount / centralServedCount, 100 * minServedFraction);
    ResultPrinter.printResultAndExit(
        capViolations + slotViolations == 0 && servedCount >= 0.95 * centralServedCount,
        "caps: %d broken, %.1f %% of naive central served (aim 0 broken, >= 95 %%)",
        capViolations + slotViolations,
        100 * servedCount / centralServedCount);
  }
}
