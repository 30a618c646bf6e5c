package org.sageladder.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.Quota;

/**
 * Quotas enforced together by 84 entry VMs: never exceeded, and few requests below them refused.
 */
class QuotasTest {
  private static final int VM_COUNT = 84;
  private static final Quota LARGE_QUOTA = new Quota(279, 279);
  private static final Quota MEDIUM_QUOTA = new Quota(20, 20);
  private static final Quota SMALL_QUOTA = new Quota(3, 3);
  private static final double USUAL_LOAD_FRACTION = 1 / 1.6;
  private static final long END_MILLIS = 30_000;

  private static QuotaModel model(Quota quota, double lossProbability, long seed) {
    return new QuotaModel(VM_COUNT, QuotaModel.TOLERANCE, quota, lossProbability, seed);
  }

  private static void assertQuotaKept(QuotaModel model) {
    assertTrue(
        model.maxAdmittedInWindow() <= model.maxRequestsInWindow(),
        model.maxAdmittedInWindow() + " admitted, allowed " + model.maxRequestsInWindow());
  }

  private static void assertAdmittedFraction(QuotaModel model, double minFraction) {
    assertTrue(
        model.admittedMillis.size() >= minFraction * model.tokenBucketAdmissions(),
        model.admittedMillis.size()
            + " admitted, a token bucket admits "
            + model.tokenBucketAdmissions()
            + " requests");
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

  /** Guards against exceeding the quota when a workspace sends a multiple of its usual load. */
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

  /**
   * Guards against exceeding the quota or refusing too much when the coordinator fails during a
   * surge.
   */
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

  /** Guards against a fresh quota after all VMs are killed during a surge. */
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

  /** Guards against disconnected VMs that each use the whole quota. */
  @Test
  void quotaHoldsWhenVmsAreDisconnected() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaModel model = model(LARGE_QUOTA, 0, seed);
      model.offer(model.coordinated(), 800, 0, END_MILLIS);
      for (int vm = 0; vm < VM_COUNT * 0.35; vm++) {
        int disconnected = vm;
        model.schedule(9_000, () -> model.disconnect(disconnected));
      }
      model.run(END_MILLIS);
      assertQuotaKept(model);
    }
  }

  /**
   * Guards against VMs that run on before they hear of a surge, or refuse it since answers are
   * late.
   */
  @Test
  void surgeStaysWithinTheQuotaWhileVmsAreSlow() {
    for (Quota quota : new Quota[] {LARGE_QUOTA, MEDIUM_QUOTA}) {
      for (long processingMillis : new long[] {50, 100, 200}) {
        QuotaModel model = model(quota, 0.02, 1);
        for (int vm = 0; vm < VM_COUNT; vm++) {
          model.slowDown(vm, processingMillis);
        }
        offerSurge(model, quota, 800, 8_000);
        model.run(10_000);
        assertQuotaKept(model);
        assertAdmittedFraction(model, 0.85);
      }
    }
  }

  /** Guards against VMs that admit everything until a slow coordinator is given up. */
  @Test
  void surgeStaysWithinTheQuotaWhileTheCoordinatorIsSlow() {
    for (Quota quota : new Quota[] {LARGE_QUOTA, MEDIUM_QUOTA, SMALL_QUOTA}) {
      for (long processingMillis : new long[] {200, 700, 3_000}) {
        QuotaModel model = model(quota, 0, 1);
        model.schedule(5_000, () -> model.slowDown(model.coordinator(), processingMillis));
        offerSurge(model, quota, 5_000, 15_000);
        model.run(16_000);
        assertQuotaKept(model);
      }
    }
  }

  /** Guards against a new coordinator that grants the quota a second time. */
  @Test
  void quotaHoldsWhenRegistrationsEndDuringASurge() {
    for (long seed = 1; seed <= 3; seed++) {
      for (Quota quota : new Quota[] {LARGE_QUOTA, MEDIUM_QUOTA, SMALL_QUOTA}) {
        for (long endMillis : new long[] {6_000, 7_000, 8_000}) {
          QuotaModel model = model(quota, 0.02, seed);
          offerSurge(model, quota, 5_000, 15_000);
          model.schedule(endMillis, () -> model.endRegistrations(model.coordinator() + 1));
          model.run(16_000);
          assertQuotaKept(model);
        }
      }
    }
  }

  private static void offerSurge(QuotaModel model, Quota quota, long surgeMillis, long endMillis) {
    double usual = quota.ratePerSecond() * USUAL_LOAD_FRACTION;
    model.offer(model.coordinated(), usual, 0, surgeMillis);
    model.offer(model.coordinated(), usual * 7.6, surgeMillis, endMillis);
  }

  /** Guards against VMs that keep using the old quota after it was lowered. */
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
    QuotaModel equalShares = model(SMALL_QUOTA, 0, 1);
    equalShares.offer(equalShares.equalShares(), 8, 0, END_MILLIS);
    equalShares.run(END_MILLIS);
    QuotaModel coordinated = model(SMALL_QUOTA, 0, 1);
    coordinated.offer(coordinated.coordinated(), 8, 0, END_MILLIS);
    coordinated.run(END_MILLIS);
    assertTrue(
        equalShares.maxAdmittedInWindow() > equalShares.maxRequestsInWindow()
            || equalShares.admittedMillis.size() < equalShares.tokenBucketAdmissions());
    assertQuotaKept(coordinated);
    assertAdmittedFraction(coordinated, 0.9);
  }

  /** Guards against late reports, which would exceed a quota without tolerance. */
  @Test
  void exactToleranceRequiresATokenForEachRequest() {
    QuotaModel model = new QuotaModel(VM_COUNT, QuotaTolerance.exact(), SMALL_QUOTA, 0, 2);
    model.offer(model.coordinated(), 14, 0, END_MILLIS);
    model.run(END_MILLIS);
    assertTrue(
        model.maxAdmittedInWindow() <= 18, "admitted in a window: " + model.maxAdmittedInWindow());
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
