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
    ServiceRetryBudget budget = ServiceRetryBudget.of(0.2, 64, 10_000, 1);
    budget.updateEntryVmCount(12, -10_000);
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
    ServiceRetryBudget budget = ServiceRetryBudget.of(0, 48, 10_000, 1);
    budget.updateEntryVmCount(12, -10_000);
    budget.updateEntryVmCount(1, -9_000);
    int retries = 0;
    while (budget.tryAcquire("s", 0)) {
      retries++;
    }
    assertTrue(retries <= 4, "retries: " + retries);
  }

  /** Guards against a restarted VM that spends the share of its earlier process once more. */
  @Test
  void restartedVmLeavesRoomForTheRetriesOfItsEarlierProcess() {
    for (long restartMillis : new long[] {1, 2_500, 9_999}) {
      int retries = 0;
      long firstRetryMillis = 10_000;
      ServiceRetryBudget earlier = ServiceRetryBudget.of(0.2, 64, 10_000, 1);
      earlier.updateEntryVmCount(8, -10_000);
      ServiceRetryBudget later = ServiceRetryBudget.of(0.2, 64, 10_000, 1);
      for (long now = 0; now < firstRetryMillis + 10_000; now += 10) {
        boolean isRestarted = now >= firstRetryMillis + restartMillis;
        ServiceRetryBudget current = isRestarted ? later : earlier;
        if (now - 10 < firstRetryMillis + restartMillis && isRestarted) {
          later.updateEntryVmCount(8, now);
        }
        current.recordRequest("s", now);
        while (now >= firstRetryMillis && current.tryAcquire("s", now)) {
          retries++;
        }
      }
      double maxRetries = 0.2 * 1_000 + 64.0 / 8;
      assertTrue(retries <= maxRetries, "retries: " + retries);
      assertTrue(retries >= 0.7 * maxRetries, "retries: " + retries);
    }
  }

  /** Guards against a VM that takes the extra retries of all before it knows the others. */
  @Test
  void extraRetriesNeedTheListOfVms() {
    ServiceRetryBudget budget = ServiceRetryBudget.of(0, 48, 10_000, 1);
    assertEquals(false, budget.tryAcquire("s", 60_000));
    budget.updateEntryVmCount(12, 60_000);
    assertEquals(false, budget.tryAcquire("s", 69_999));
    assertTrue(budget.tryAcquire("s", 70_000));
  }

  /** Guards against a VM that takes the extra retries of others that it does not know. */
  @Test
  void extraRetriesAreSharedWithUnknownVms() {
    ServiceRetryBudget budget = ServiceRetryBudget.of(0, 48, 10_000, 6);
    budget.updateEntryVmCount(1, -10_000);
    int retries = 0;
    while (budget.tryAcquire("s", 0)) {
      retries++;
    }
    assertTrue(retries <= 8, "retries: " + retries);
  }
}
