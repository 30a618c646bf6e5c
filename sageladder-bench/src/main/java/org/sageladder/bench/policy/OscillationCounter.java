package org.sageladder.bench.policy;

/**
 * Counts how often the fraction of callers sent to other regions changes between growth and
 * decline.
 */
final class OscillationCounter {
  private static final double MIN_CHANGE = 1.0 / 32;

  private final double[][] lastExtreme;
  private final int[][] direction;
  private int reversalCount;

  OscillationCounter(int regions, int vms) {
    this.lastExtreme = new double[vms][regions];
    this.direction = new int[vms][regions];
  }

  void recordSample(int vm, double[] crossRegionFractions) {
    for (int region = 0; region < crossRegionFractions.length; region++) {
      double change = crossRegionFractions[region] - lastExtreme[vm][region];
      int currentDirection = direction[vm][region];
      if (currentDirection == 0
          ? Math.abs(change) >= MIN_CHANGE
          : change * currentDirection <= -MIN_CHANGE) {
        reversalCount += currentDirection == 0 ? 0 : 1;
        direction[vm][region] = change > 0 ? 1 : -1;
        lastExtreme[vm][region] = crossRegionFractions[region];
      } else if (change * currentDirection > 0) {
        lastExtreme[vm][region] = crossRegionFractions[region];
      }
    }
  }

  /** Reversals of at least 1/32 of the callers, over all entry VMs and regions. */
  int reversalCount() {
    return reversalCount;
  }
}
