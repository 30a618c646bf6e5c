package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Second sends, over all entry VMs. */
class ServiceRetryBudgetTest {
  /**
   * A service that refuses half of what arrives would get its refusals back from every entry VM at
   * once. Each keeps its part: the ratio's of its own requests, the extra's by the number of VMs.
   */
  @Test
  void eachEntryVmKeepsItsPart() {
    ServiceRetryBudget allowance = ServiceRetryBudget.of(0.2, 64, 10_000);
    allowance.updateEntryVmCount(12);
    for (int i = 0; i < 100; i++) {
      allowance.recordRequest("s", i);
    }
    int taken = 0;
    while (allowance.tryAcquire("s", 200)) {
      taken++;
    }
    assertTrue(taken > 10 && taken <= 0.2 * 100 + 64.0 / 12, "took " + taken);
    assertEquals(false, allowance.tryAcquire("s", 5_000));
    assertTrue(allowance.tryAcquire("s", 10_201), "the window is over");
  }

  /** A VM that leaves has spent its part already: the others do not inherit it. */
  @Test
  void partsDoNotGrowWhenVmsLeave() {
    ServiceRetryBudget allowance = ServiceRetryBudget.of(0, 48, 10_000);
    allowance.updateEntryVmCount(12);
    allowance.updateEntryVmCount(1);
    int taken = 0;
    while (allowance.tryAcquire("s", 0)) {
      taken++;
    }
    assertTrue(taken <= 4, "took " + taken);
  }
}
