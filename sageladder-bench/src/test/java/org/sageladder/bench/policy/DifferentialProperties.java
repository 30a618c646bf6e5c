package org.sageladder.bench.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks that the distributed policy respects shift caps and slot limits under faults. */
class DifferentialProperties {
  /**
   * Partitions, late or lost summaries and restarts of entry VMs under random demand must not let a
   * target or region exceed its cap or slots, as it would if a share of the allowed gain were used
   * twice. {@link AdmissionLog} recounts every window of each target and region.
   */
  @Property(tries = 8, seed = "31")
  void capsAndSlotLimitsHoldUnderFaults(@ForAll @IntRange(min = 1000, max = 9000) int seed) {
    ClusterSimulation simulation = RandomRun.of(seed, 60, true).runDistributed();
    assertEquals(0, simulation.admissionLog().capViolationCount(simulation.nowNanos()));
    assertEquals(0, simulation.admissionLog().slotViolationCount());
    assertTrue(simulation.admissionLog().servedCount() > 0);
  }

  /** The log must detect exceeded limits; otherwise the property above would prove nothing. */
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
