package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit on retries from all entry VMs together. */
class ServiceRetryBudgetTest {
  /**
   * Guards against all entry VMs retrying at once when a service refuses half of its requests. Each
   * VM stays within its share: the ratio of its own requests, and the extra retries divided by the
   * number of VMs.
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
    assertTrue(retries > 10 && retries <= 0.2 * 100 + 64.0 / 12, "retries: " + retries);
    assertEquals(false, budget.tryAcquire("s", 5_000));
    assertTrue(budget.tryAcquire("s", 10_201), "the window has passed");
  }

  /** A VM that leaves may have used its share already: the others do not take it over. */
  @Test
  void shareDoesNotGrowWhenVmsLeave() {
    ServiceRetryBudget budget = ServiceRetryBudget.of(0, 48, 10_000);
    budget.updateEntryVmCount(12);
    budget.updateEntryVmCount(1);
    int retries = 0;
    while (budget.tryAcquire("s", 0)) {
      retries++;
    }
    assertTrue(retries <= 4, "retries: " + retries);
  }
}
