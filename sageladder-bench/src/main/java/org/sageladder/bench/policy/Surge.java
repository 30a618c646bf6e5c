package org.sageladder.bench.policy;

/** Ten times the demand on one region within a second, with readings 5 s late. */
public final class Surge {
  private static final World.Policy[] POLICIES = {World.Policy.STEERED, World.Policy.IDLE_SLOTS};

  private Surge() {}

  /** Runs the surge; {@code --full} for more seeds. */
  public static void main(String[] arguments) {
    int seeds = Report.isFull(arguments) ? 10 : 3;
    int seconds = 180;
    int[] turns = new int[POLICIES.length];
    long faults = 0;
    double[] served = new double[POLICIES.length];
    double central = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      Setup setup = Setup.today(seed).withDelay(5_000);
      Demand demand = Demand.surge(setup, 0.15, 10, 60);
      central += NaiveCentral.run(setup, demand, seconds).servedTotal();
      for (int i = 0; i < POLICIES.length; i++) {
        World world = new World(setup, demand, POLICIES[i]);
        world.run(seconds);
        turns[i] += world.oscillation().turns();
        served[i] += world.tally().servedTotal();
        faults += faults(world);
      }
    }
    Report.line(
        "%d seeds, %d s each, demand x10 on region 0 at 60 s, readings 5 s late", seeds, seconds);
    for (int i = 0; i < POLICIES.length; i++) {
      Report.line(
          "  %-10s serves %5.1f %% of naive central, weights turn %d times",
          POLICIES[i], 100 * served[i] / central, turns[i]);
    }
    Report.line("  regions over capacity, targets over slots, caps broken: %d", faults);
    Report.end(
        faults == 0 && turns[0] < turns[1],
        "surge: %d limits broken, %d weight turns against %d of the first policy (aim 0 broken, fewer turns)",
        faults,
        turns[0],
        turns[1]);
  }

  private static long faults(World world) {
    Tally tally = world.tally();
    return tally.slotsBroken()
        + tally.capsBroken(world.nowNanos())
        + tally.regionsOverCapacity(world.nowNanos());
  }
}
