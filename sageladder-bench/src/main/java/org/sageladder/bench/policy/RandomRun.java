package org.sageladder.bench.policy;

import java.util.Random;

/**
 * One random run of the distributed policy, with or without faults.
 *
 * @param setup random caps, delays and, with faults, losses
 * @param demand random pattern
 */
record RandomRun(Setup setup, Demand demand, int seconds, boolean faults) {
  static RandomRun of(long seed, int seconds, boolean faults) {
    Random random = new Random(seed);
    Setup setup =
        Setup.today(seed)
            .withCap(0.1 + 0.3 * random.nextDouble(), 5 * (1 + random.nextInt(2)))
            .withDelay(500L * (1 + random.nextInt(faults ? 10 : 4)))
            .withLoss(faults ? 0.5 * random.nextDouble() : 0);
    return new RandomRun(setup, demand(setup, random), seconds, faults);
  }

  private static Demand demand(Setup setup, Random random) {
    double base = 0.3 + 0.4 * random.nextDouble();
    return switch (random.nextInt(3)) {
      case 0 -> Demand.steady(setup, base);
      case 1 -> Demand.surge(setup, base / 2, 2 + 8 * random.nextDouble(), 30);
      default -> Demand.swinging(setup, 60 + 120 * random.nextDouble());
    };
  }

  World distributed() {
    World world = new World(setup, demand, World.Policy.STEERED);
    Random random = new Random(setup.seed() + 99);
    for (int done = 0; done < seconds; done += 10) {
      if (faults) {
        fault(world, random);
      }
      world.run(10);
    }
    return world;
  }

  private void fault(World world, Random random) {
    int cut = random.nextInt(3) == 0 ? random.nextInt(setup.regions()) : -1;
    world.cut(region -> region == cut);
    if (random.nextInt(3) == 0) {
      world.restart(random.nextInt(world.vmCount()));
    }
  }

  Tally central() {
    return NaiveCentral.run(setup, demand, seconds);
  }
}
