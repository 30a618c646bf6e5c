package org.sageladder.bench.policy;

import java.util.Random;

/**
 * One simulation of the distributed policy with a random setup, with or without faults.
 *
 * @param setup random shift caps, summary delays and, with faults, summary losses
 * @param demand random demand pattern
 */
record RandomRun(Setup setup, Demand demand, int seconds, boolean hasFaults) {
  static RandomRun of(long seed, int seconds, boolean hasFaults) {
    Random random = new Random(seed);
    Setup setup =
        Setup.typical(seed)
            .withShiftCaps(0.1 + 0.3 * random.nextDouble(), 5 * (1 + random.nextInt(2)))
            .withSummaryDelay(500L * (1 + random.nextInt(hasFaults ? 10 : 4)))
            .withSummaryLoss(hasFaults ? 0.5 * random.nextDouble() : 0);
    return new RandomRun(setup, drawDemand(setup, random), seconds, hasFaults);
  }

  private static Demand drawDemand(Setup setup, Random random) {
    double baseLoadFraction = 0.3 + 0.4 * random.nextDouble();
    return switch (random.nextInt(3)) {
      case 0 -> Demand.steady(setup, baseLoadFraction);
      case 1 -> Demand.surge(setup, baseLoadFraction / 2, 2 + 8 * random.nextDouble(), 30);
      default -> Demand.swinging(setup, 60 + 120 * random.nextDouble());
    };
  }

  ClusterSimulation runDistributed() {
    ClusterSimulation simulation =
        new ClusterSimulation(setup, demand, ClusterSimulation.Policy.STEERED);
    Random random = new Random(setup.seed() + 99);
    for (int elapsedSeconds = 0; elapsedSeconds < seconds; elapsedSeconds += 10) {
      if (hasFaults) {
        injectFault(simulation, random);
      }
      simulation.run(10);
    }
    return simulation;
  }

  private void injectFault(ClusterSimulation simulation, Random random) {
    int cutRegion = random.nextInt(3) == 0 ? random.nextInt(setup.regionCount()) : -1;
    simulation.cutRegions(region -> region == cutRegion);
    if (random.nextInt(3) == 0) {
      simulation.restartVm(random.nextInt(simulation.vmCount()));
    }
  }

  AdmissionLog runCentral() {
    return NaiveCentralPolicy.run(setup, demand, seconds);
  }
}
