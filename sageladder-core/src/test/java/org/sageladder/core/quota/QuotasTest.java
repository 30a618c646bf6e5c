package org.sageladder.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.Quota;

/** Quotas that 84 entry VMs keep together: never exceeded, and little refused below them. */
class QuotasTest {
  private static final int VM_COUNT = 84;
  private static final Quota LARGE_QUOTA = new Quota(279, 279);
  private static final Quota SMALL_QUOTA = new Quota(3, 3);
  private static final double USUAL_LOAD_FRACTION = 1 / 1.6;
  private static final long END_MILLIS = 30_000;

  private static QuotaModel model(Quota quota, double lost, long seed) {
    return new QuotaModel(VM_COUNT, QuotaModel.TOLERANCE, quota, lost, seed);
  }

  private static void assertQuotaKept(QuotaModel model) {
    assertTrue(
        model.maxAdmittedInWindow() <= model.maxRequestsInWindow(),
        model.maxAdmittedInWindow() + " of " + model.maxRequestsInWindow());
  }

  private static void assertAdmittedFraction(QuotaModel model, double share) {
    assertTrue(
        model.admittedMillis.size() >= share * model.tokenBucketAdmissions(),
        model.admittedMillis.size() + " of " + model.tokenBucketAdmissions() + " owed");
  }

  @Test
  void usualTrafficIsAdmittedWithoutWaiting() {
    for (Quota quota : new Quota[] {LARGE_QUOTA, SMALL_QUOTA}) {
      QuotaModel model = model(quota, 0, 1);
      model.offer(model.coordinated(), quota.ratePerSecond() * USUAL_LOAD_FRACTION, 0, END_MILLIS);
      model.run(END_MILLIS);
      assertEquals(model.offeredMillis.size(), model.admittedMillis.size());
      assertEquals(0, model.totalWaitMillis);
    }
  }

  /** Guards against a workspace at many times its usual that runs beyond its quota. */
  @Test
  void surgeStaysWithinTheQuota() {
    for (long seed = 1; seed <= 5; seed++) {
      for (Quota quota : new Quota[] {LARGE_QUOTA, SMALL_QUOTA}) {
        QuotaModel model = model(quota, 0.02, seed);
        double usual = quota.ratePerSecond() * USUAL_LOAD_FRACTION;
        model.offer(model.coordinated(), usual, 0, 8_000);
        model.offer(model.coordinated(), usual * 7.5, 8_000, 16_000);
        model.offer(model.coordinated(), usual, 16_000, END_MILLIS);
        model.run(END_MILLIS);
        assertQuotaKept(model);
        assertAdmittedFraction(model, 0.9);
      }
    }
  }

  /** Guards against a coordinator that is gone in the middle of a surge. */
  @Test
  void quotaHoldsWhenTheCoordinatorFails() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaModel model = model(LARGE_QUOTA, 0.02, seed);
      model.offer(model.coordinated(), 800, 0, END_MILLIS);
      model.schedule(10_000, () -> model.disconnect(model.coordinator()));
      model.run(END_MILLIS);
      assertQuotaKept(model);
      assertAdmittedFraction(model, 0.85);
    }
  }

  /** Guards against a quota that starts anew where all VMs are killed in the middle of a surge. */
  @Test
  void quotaHoldsWhenAllVmsRestart() {
    for (long seed = 1; seed <= 5; seed++) {
      for (Quota quota : new Quota[] {LARGE_QUOTA, SMALL_QUOTA}) {
        QuotaModel model = model(quota, 0, seed);
        model.offer(model.coordinated(), quota.ratePerSecond() * 3, 0, END_MILLIS);
        model.schedule(12_000, () -> model.restartAll(600));
        model.run(END_MILLIS);
        assertQuotaKept(model);
        assertAdmittedFraction(model, 0.85);
      }
    }
  }

  /** Guards against VMs cut off from all others that each spend the whole quota. */
  @Test
  void quotaHoldsWhenVmsAreDisconnected() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaModel model = model(LARGE_QUOTA, 0, seed);
      model.offer(model.coordinated(), 800, 0, END_MILLIS);
      for (int vm = 0; vm < VM_COUNT * 0.35; vm++) {
        int gone = vm;
        model.schedule(9_000, () -> model.disconnect(gone));
      }
      model.run(END_MILLIS);
      assertQuotaKept(model);
    }
  }

  /** Guards against a lowered quota that VMs go on exceeding. */
  @Test
  void loweredQuotaHoldsOneWindowLater() {
    QuotaModel model = model(LARGE_QUOTA, 0.02, 3);
    model.offer(model.coordinated(), 279 * USUAL_LOAD_FRACTION, 0, END_MILLIS);
    model.schedule(10_000, () -> model.updateQuota(new Quota(60, 60)));
    model.run(15_500);
    model.admittedMillis.clear();
    model.run(END_MILLIS);
    assertQuotaKept(model);
  }

  @Test
  void equalSharesServeASmallWorkspaceWorseThanCoordination() {
    QuotaModel equal = model(SMALL_QUOTA, 0, 1);
    equal.offer(equal.equalShares(), 8, 0, END_MILLIS);
    equal.run(END_MILLIS);
    QuotaModel together = model(SMALL_QUOTA, 0, 1);
    together.offer(together.coordinated(), 8, 0, END_MILLIS);
    together.run(END_MILLIS);
    assertTrue(
        equal.maxAdmittedInWindow() > equal.maxRequestsInWindow()
            || equal.admittedMillis.size() < equal.tokenBucketAdmissions());
    assertQuotaKept(together);
    assertAdmittedFraction(together, 0.9);
  }

  /** Guards against a bound without room that reports of late would break. */
  @Test
  void exactToleranceRequiresATokenForEachRequest() {
    QuotaModel model = new QuotaModel(VM_COUNT, QuotaTolerance.exact(), SMALL_QUOTA, 0, 2);
    model.offer(model.coordinated(), 14, 0, END_MILLIS);
    model.run(END_MILLIS);
    assertTrue(model.maxAdmittedInWindow() <= 18, "in a window: " + model.maxAdmittedInWindow());
    assertAdmittedFraction(model, 0.8);
  }

  @Test
  void withoutQuotaNoMessageIsSent() {
    QuotaModel model = model(Quota.unlimited(), 0, 1);
    model.offer(model.coordinated(), 500, 0, 5_000);
    model.run(5_000);
    assertEquals(0, model.messageCount);
    assertEquals(model.offeredMillis.size(), model.admittedMillis.size());
  }
}
