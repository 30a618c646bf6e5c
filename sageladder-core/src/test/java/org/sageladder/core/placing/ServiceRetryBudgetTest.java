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
  void entryVmUsesOnlyItsShareOfTheBudget() {
    ServiceRetryBudget budget = ServiceRetryBudget.of(0.2, 64, 10_000);
    budget.updateEntryVmCount(12);
    for (int i = 0; i < 100; i++) {
      budget.recordRequest("s", i);
    }
    int retries = 0;
    while (budget.tryAcquire("s", 200)) {
      retries++;
    }
    assertTrue(retries > 10 && retries <= 0.2 * 100 + 64.0 / 12, "took " + retries);
    assertEquals(false, budget.tryAcquire("s", 5_000));
    assertTrue(budget.tryAcquire("s", 10_201), "the window is over");
  }

  /** A VM that leaves has spent its part already: the others do not inherit it. */
  @Test
  void shareDoesNotGrowWhenVmsLeave() {
    ServiceRetryBudget budget = ServiceRetryBudget.of(0, 48, 10_000);
    budget.updateEntryVmCount(12);
    budget.updateEntryVmCount(1);
    int retries = 0;
    while (budget.tryAcquire("s", 0)) {
      retries++;
    }
    assertTrue(retries <= 4, "took " + retries);
  }
}
