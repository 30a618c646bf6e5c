package org.sageladder.bench.policy;

/** Counts how often the part of callers sent away turns from growing to shrinking or back. */
final class Oscillation {
  private static final double LEAST_MOVE = 1.0 / 32;

  private final double[][] extreme;
  private final int[][] direction;
  private int turns;

  Oscillation(int regions, int vms) {
    this.extreme = new double[vms][regions];
    this.direction = new int[vms][regions];
  }

  void sample(int vm, double[] remoteParts) {
    for (int region = 0; region < remoteParts.length; region++) {
      double move = remoteParts[region] - extreme[vm][region];
      int way = direction[vm][region];
      if (way == 0 ? Math.abs(move) >= LEAST_MOVE : move * way <= -LEAST_MOVE) {
        turns += way == 0 ? 0 : 1;
        direction[vm][region] = move > 0 ? 1 : -1;
        extreme[vm][region] = remoteParts[region];
      } else if (move * way > 0) {
        extreme[vm][region] = remoteParts[region];
      }
    }
  }

  /** Turns of at least a 32nd, over all entry VMs and regions. */
  int turns() {
    return turns;
  }
}
