package org.sageladder.bench.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** The distributed decisions against the naive central reference. */
class DifferentialProperties {
  /**
   * Regions lose each other, readings are late or lost and entry VMs start anew under random
   * demand. A customer would see a region take on more than its cap allows if any share were used
   * twice on the way; the naive tally counts each window of each target and region.
   */
  @Property(tries = 8, seed = "31")
  void faultsBreakNoCapAndNoSlot(@ForAll @IntRange(min = 1000, max = 9000) int seed) {
    World world = RandomRun.of(seed, 60, true).distributed();
    assertEquals(0, world.tally().capsBroken(world.nowNanos()));
    assertEquals(0, world.tally().slotsBroken());
    assertTrue(world.tally().servedTotal() > 0);
  }

  /** The tally itself must see a cap that is broken, or the runs above would prove nothing. */
  @Property(tries = 1)
  void tallySeesABrokenCap() {
    Setup setup = Setup.today(1);
    Tally tally = new Tally(setup);
    for (int i = 0; i <= setup.targetGain(); i++) {
      tally.admitted("t", "r0", "r0", 1);
    }
    assertTrue(tally.capsBroken(1) > 0);
    assertTrue(tally.slotsBroken() > 0);
  }
}
