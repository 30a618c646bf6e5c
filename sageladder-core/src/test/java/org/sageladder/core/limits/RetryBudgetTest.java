package org.sageladder.core.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  @Test
  void retriesDoNotMultiplyAnOverload() {
    // All targets fail, and each of 1000 requests wants three retries. Without a limit the targets
    // would get 4000 requests while they can handle the least.
    RetryBudget budget = RetryBudget.of(0.1);
    int sent = 0;
    for (int i = 0; i < 1000; i++) {
      budget.recordFirstAttempt();
      sent++;
      for (int retry = 0; retry < 3 && budget.tryAcquireRetry(); retry++) {
        sent++;
      }
    }
    assertTrue(sent <= 1101, "sent " + sent);
    assertEquals(1000, budget.counts().firstAttempts());
    assertTrue(budget.counts().retries() >= 99);
  }

  @Test
  void savedRetriesAreBounded() {
    RetryBudget budget = RetryBudget.of(1);
    for (int i = 0; i < 10_000; i++) {
      budget.recordFirstAttempt();
    }
    int retries = 0;
    while (budget.tryAcquireRetry()) {
      retries++;
    }
    assertEquals(RetryBudget.MAX_SAVED_RETRIES, retries);
  }

  @Test
  void fractionOutsideZeroToOneIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(1.5));
    assertThrows(IllegalArgumentException.class, () -> RetryBudget.of(Double.NaN));
  }
}
