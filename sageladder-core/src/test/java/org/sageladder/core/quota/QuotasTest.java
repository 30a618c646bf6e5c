package org.sageladder.core.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.sageladder.core.routing.Quota;

/** Quotas that 84 entry VMs keep together: never exceeded, and little refused below them. */
class QuotasTest {
  private static final int VMS = 84;
  private static final Quota LARGE = new Quota(279, 279);
  private static final Quota SMALL = new Quota(3, 3);
  private static final double USUAL = 1 / 1.6;
  private static final long END = 30_000;

  private static QuotaModel model(Quota quota, double lost, long seed) {
    return new QuotaModel(VMS, QuotaModel.BOUNDS, quota, lost, seed);
  }

  private static void assertKept(QuotaModel model) {
    assertTrue(model.mostInWindow() <= model.most(), model.mostInWindow() + " of " + model.most());
  }

  private static void assertServed(QuotaModel model, double share) {
    assertTrue(
        model.admitted.size() >= share * model.owed(),
        model.admitted.size() + " of " + model.owed() + " owed");
  }

  @Test
  void usualTrafficIsAdmittedWithoutWaiting() {
    for (Quota quota : new Quota[] {LARGE, SMALL}) {
      QuotaModel model = model(quota, 0, 1);
      model.offer(model.together(), quota.ratePerSecond() * USUAL, 0, END);
      model.run(END);
      assertEquals(model.offered.size(), model.admitted.size());
      assertEquals(0, model.waitedMillis);
    }
  }

  /** Guards against a workspace at many times its usual that runs beyond its quota. */
  @Test
  void surgeStaysWithinTheQuota() {
    for (long seed = 1; seed <= 5; seed++) {
      for (Quota quota : new Quota[] {LARGE, SMALL}) {
        QuotaModel model = model(quota, 0.02, seed);
        double usual = quota.ratePerSecond() * USUAL;
        model.offer(model.together(), usual, 0, 8_000);
        model.offer(model.together(), usual * 7.5, 8_000, 16_000);
        model.offer(model.together(), usual, 16_000, END);
        model.run(END);
        assertKept(model);
        assertServed(model, 0.9);
      }
    }
  }

  /** Guards against a coordinator that is gone in the middle of a surge. */
  @Test
  void lostCoordinatorIsReplacedWithinTheQuota() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaModel model = model(LARGE, 0.02, seed);
      model.offer(model.together(), 800, 0, END);
      model.at(10_000, () -> model.cut(model.coordinator()));
      model.run(END);
      assertKept(model);
      assertServed(model, 0.85);
    }
  }

  /** Guards against a quota that starts anew where all VMs are killed in the middle of a surge. */
  @Test
  void allVmsKilledAtOnceDoNotRenewTheQuota() {
    for (long seed = 1; seed <= 5; seed++) {
      for (Quota quota : new Quota[] {LARGE, SMALL}) {
        QuotaModel model = model(quota, 0, seed);
        model.offer(model.together(), quota.ratePerSecond() * 3, 0, END);
        model.at(12_000, () -> model.killAll(600));
        model.run(END);
        assertKept(model);
        assertServed(model, 0.85);
      }
    }
  }

  /** Guards against VMs cut off from all others that each spend the whole quota. */
  @Test
  void vmsCutOffLetRunNoMoreThanBefore() {
    for (long seed = 1; seed <= 5; seed++) {
      QuotaModel model = model(LARGE, 0, seed);
      model.offer(model.together(), 800, 0, END);
      for (int vm = 0; vm < VMS * 0.35; vm++) {
        int gone = vm;
        model.at(9_000, () -> model.cut(gone));
      }
      model.run(END);
      assertKept(model);
    }
  }

  /** Guards against a lowered quota that VMs go on exceeding. */
  @Test
  void loweredQuotaIsKeptOneWindowLater() {
    QuotaModel model = model(LARGE, 0.02, 3);
    model.offer(model.together(), 279 * USUAL, 0, END);
    model.at(10_000, () -> model.quota(new Quota(60, 60)));
    model.run(15_500);
    model.admitted.clear();
    model.run(END);
    assertKept(model);
  }

  @Test
  void equalPartsRefuseMostOfWhatASmallWorkspaceIsOwed() {
    QuotaModel equal = model(SMALL, 0, 1);
    equal.offer(equal.equalParts(), 8, 0, END);
    equal.run(END);
    QuotaModel together = model(SMALL, 0, 1);
    together.offer(together.together(), 8, 0, END);
    together.run(END);
    assertTrue(equal.mostInWindow() > equal.most() || equal.admitted.size() < equal.owed());
    assertKept(together);
    assertServed(together, 0.9);
  }

  /** Guards against a bound without room that reports of late would break. */
  @Test
  void exactBoundsAreKeptByAskingBeforeEachRequest() {
    QuotaModel model = new QuotaModel(VMS, QuotaBounds.exact(), SMALL, 0, 2);
    model.offer(model.together(), 14, 0, END);
    model.run(END);
    assertTrue(model.mostInWindow() <= 18, "in a window: " + model.mostInWindow());
    assertServed(model, 0.8);
  }

  @Test
  void withoutQuotaNoMessageIsSent() {
    QuotaModel model = model(Quota.unlimited(), 0, 1);
    model.offer(model.together(), 500, 0, 5_000);
    model.run(5_000);
    assertEquals(0, model.messages);
    assertEquals(model.offered.size(), model.admitted.size());
  }
}
