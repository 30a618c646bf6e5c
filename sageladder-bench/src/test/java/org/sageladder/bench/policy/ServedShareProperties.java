package org.sageladder.bench.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Compares the load served by the distributed policy with that of the naive central policy. */
class ServedShareProperties {
  /**
   * Without faults the distributed policy must serve at least 95 % of the central policy's load.
   * Guards against a fault in which single runs served only 92 to 95 % after a sudden surge: all
   * callers refused by a full region went to the same remote zone, while another region had idle
   * capacity.
   */
  @Property(tries = 16, seed = "32")
  void distributedServesAtLeast95PercentOfCentralWithoutFaults(
      @ForAll @IntRange(min = 1000, max = 9000) int seed) {
    RandomRun run = RandomRun.of(seed, 60, false);
    double served = run.runDistributed().admissionLog().servedCount();
    double central = run.runCentral().servedCount();
    assertTrue(served >= 0.95 * central, served + " of " + central);
  }
}
