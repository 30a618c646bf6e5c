package org.sageladder.core.steering;

/** Moves the parts in force toward those wanted, by as much as late readings allow. */
final class Damping {
  private Damping() {}

  static double[][] step(
      ServiceFacts before, double[][] inForce, ServiceFacts after, double[][] wanted) {
    return wanted;
  }
}
