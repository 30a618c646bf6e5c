package org.sageladder.bench.policy;

/** Random runs, with faults and without, counted by the naive tally: caps broken, load served. */
public final class Caps {
  private Caps() {}

  /** Runs the comparison; {@code --full} for ten times the runs. */
  public static void main(String[] arguments) {
    int runs = Report.isFull(arguments) ? 200 : 20;
    int seconds = 120;
    long broken = 0;
    long slots = 0;
    double worst = 1;
    double served = 0;
    double central = 0;
    for (int seed = 1; seed <= runs; seed++) {
      World faulty = RandomRun.of(seed, seconds, true).distributed();
      broken += faulty.tally().capsBroken(faulty.nowNanos());
      slots += faulty.tally().slotsBroken();
      RandomRun calm = RandomRun.of(seed, seconds, false);
      World world = calm.distributed();
      Tally naive = calm.central();
      broken += world.tally().capsBroken(world.nowNanos());
      slots += world.tally().slotsBroken();
      served += world.tally().servedTotal();
      central += naive.servedTotal();
      worst = Math.min(worst, (double) world.tally().servedTotal() / naive.servedTotal());
    }
    Report.line("%d random runs with faults, %d without, %d s each", runs, runs, seconds);
    Report.line("  caps broken %d, targets over their slots %d", broken, slots);
    Report.line(
        "  without faults: %.1f %% of naive central served over all, %.1f %% in the worst run",
        100 * served / central, 100 * worst);
    Report.end(
        broken + slots == 0 && served >= 0.95 * central,
        "caps: %d broken, %.1f %% of naive central served (aim 0 broken, >= 95 %%)",
        broken + slots,
        100 * served / central);
  }
}
