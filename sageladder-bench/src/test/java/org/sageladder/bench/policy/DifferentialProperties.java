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
  void capsAndSlotLimitsHoldUnderFaults(@ForAll @IntRange(min = 1000, max = 9000) int seed) {
    ClusterSimulation simulation = RandomRun.of(seed, 60, true).runDistributed();
    assertEquals(0, simulation.admissionLog().capViolationCount(simulation.nowNanos()));
    assertEquals(0, simulation.admissionLog().slotViolationCount());
    assertTrue(simulation.admissionLog().servedCount() > 0);
  }

  /** The tally itself must see a cap that is broken, or the runs above would prove nothing. */
  @Property(tries = 1)
  void logDetectsExceededLimits() {
    Setup setup = Setup.typical(1);
    AdmissionLog log = new AdmissionLog(setup);
    for (int i = 0; i <= setup.targetGainRequests(); i++) {
      log.recordAdmitted("t", "r0", "r0", 1);
    }
    assertTrue(log.capViolationCount(1) > 0);
    assertTrue(log.slotViolationCount() > 0);
  }
}
