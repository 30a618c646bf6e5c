package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.placing.RateLimitSignal.Limited;
import org.sageladder.core.placing.RateLimitSignal.Malformed;
import org.sageladder.core.placing.RateLimitSignal.Unlimited;
import org.sageladder.core.placing.TargetRateLimiter.Change;

/** Tests the limit on requests from all entry VMs together to a target that states a rate. */
class TargetRateLimiterTest {
  private static final TargetFacts TARGET = PlacementFixture.target("t", "z1", "r1", 0);
  private static final long WINDOW_MILLIS = 4_000;

  private static List<EntryVmLocation> entryVms(int count) {
    List<EntryVmLocation> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(new EntryVmLocation("e-" + i, "z" + i % 6, "r" + i % 3));
    }
    return entries;
  }

  private static List<TargetRateLimiter> limiters(int vmCount, List<EntryVmLocation> list) {
    Random random = new Random(vmCount);
    List<TargetRateLimiter> limiters = new ArrayList<>();
    for (EntryVmLocation vm : entryVms(vmCount)) {
      EntryVmRanking ranking = EntryVmRanking.of(vm.name());
      ranking.update(list, 0);
      limiters.add(TargetRateLimiter.of(ranking, random::nextDouble));
    }
    return limiters;
  }

  /** Sends as much as permitted; returns the largest number of requests in a window. */
  private static long largestWindow(List<TargetRateLimiter> limiters, long from, long to) {
    List<Long> sent = new ArrayList<>();
    long largest = 0;
    for (long now = from; now < to; now += 10) {
      for (TargetRateLimiter limiter : limiters) {
        while (limiter.permits(TARGET, now)) {
          limiter.recordSent(TARGET, now);
          sent.add(now);
        }
      }
      long windowStart = now - WINDOW_MILLIS;
      sent.removeIf(at -> at <= windowStart);
      largest = Math.max(largest, sent.size());
    }
    return largest;
  }

  @Test
  void combinedRequestsOfAllEntryVmsStayWithinTheRate() {
    for (int vmCount : new int[] {1, 3, 8, 12, 95}) {
      for (double rate : new double[] {0, 0.3, 1.4, 5, 20, 200}) {
        List<TargetRateLimiter> limiters = limiters(vmCount, entryVms(vmCount));
        limiters.forEach(limiter -> limiter.recordSignal(TARGET, new Limited(rate), 0));
        // Idle for a minute first, so that all tokens are there at once.
        limiters.forEach(limiter -> limiter.permits(TARGET, 60_000));
        long largest = largestWindow(limiters, 60_000, 120_000);
        double allowed = 1.5 * rate * WINDOW_MILLIS / 1_000 + 5;
        assertTrue(largest <= allowed, vmCount + " VMs, rate " + rate + ": " + largest + " in 4 s");
      }
    }
  }

  @Test
  void mostOfTheRateIsUsed() {
    for (double rate : new double[] {0.3, 1.4, 5, 20, 200}) {
      List<TargetRateLimiter> limiters = limiters(12, entryVms(12));
      limiters.forEach(limiter -> limiter.recordSignal(TARGET, new Limited(rate), 0));
      int sent = 0;
      for (long now = 0; now < 60_000; now += 10) {
        for (TargetRateLimiter limiter : limiters) {
          if (limiter.permits(TARGET, now)) {
            limiter.recordSent(TARGET, now);
            sent++;
          }
        }
      }
      assertTrue(sent >= 0.8 * rate * 60, "rate " + rate + ": " + sent + " in a minute");
    }
  }

  /** Guards against entry VMs that each take the whole rate after their registrations lapsed. */
  @Test
  void vmsThatSeeOnlyThemselvesKeepTheirParts() {
    List<TargetRateLimiter> limiters = new ArrayList<>();
    for (EntryVmLocation vm : entryVms(12)) {
      EntryVmRanking ranking = EntryVmRanking.of(vm.name());
      ranking.update(entryVms(12), 0);
      ranking.update(List.of(vm), 1_000);
      limiters.add(TargetRateLimiter.of(ranking, () -> 0.5));
    }
    limiters.forEach(limiter -> limiter.recordSignal(TARGET, new Limited(1.4), 1_000));
    long largest = largestWindow(limiters, 1_000, 30_000);
    assertTrue(largest <= 13, largest + " in 4 s");
  }

  @Test
  void limitIsInForceUntilAnAnswerStatesAnother() {
    TargetRateLimiter limiter = limiters(12, entryVms(12)).get(0);
    assertEquals(Change.NONE, limiter.recordSignal(TARGET, new Unlimited(), 0));
    assertTrue(limiter.permits(TARGET, 0));
    assertEquals(Change.LIMITED, limiter.recordSignal(TARGET, new Limited(2), 0));
    assertFalse(limiter.permits(TARGET, 0));
    assertEquals(Change.MALFORMED, limiter.recordSignal(TARGET, new Malformed("x"), 10));
    assertEquals(Change.NONE, limiter.recordSignal(TARGET, new Limited(2), 10));
    assertEquals(Change.CHANGED, limiter.recordSignal(TARGET, new Limited(1), 10));
    assertFalse(limiter.permits(TARGET, 10));
    assertEquals(Change.WITHDRAWN, limiter.recordSignal(TARGET, new Unlimited(), 20));
    assertEquals(Change.NONE, limiter.recordSignal(TARGET, new Unlimited(), 30));
    assertEquals(Change.LIMITED, limiter.recordSignal(TARGET, new Limited(1), 40));
    assertFalse(limiter.permits(TARGET, 40));
  }

  /** Guards against the load of all entry VMs returning at the moment a limit ends. */
  @Test
  void loadReturnsStepByStepAfterTheLimit() {
    List<TargetRateLimiter> limiters = limiters(12, entryVms(12));
    limiters.forEach(limiter -> limiter.recordSignal(TARGET, new Limited(1.4), 0));
    limiters.forEach(limiter -> limiter.recordSignal(TARGET, new Unlimited(), 10_000));
    int[] sentInSecond = new int[4];
    for (long now = 10_000; now < 14_000; now += 10) {
      for (TargetRateLimiter limiter : limiters) {
        if (limiter.permits(TARGET, now)) {
          limiter.recordSent(TARGET, now);
          sentInSecond[(int) (now - 10_000) / 1_000]++;
        }
      }
    }
    assertTrue(sentInSecond[0] <= 12, sentInSecond[0] + " in the first second");
    assertTrue(sentInSecond[3] >= 24, sentInSecond[3] + " in the fourth second");
    assertTrue(limiters.get(0).permits(TARGET, 14_000));
  }

  @Test
  void limitOfAnotherIncarnationHasNoEffect() {
    TargetRateLimiter limiter = limiters(1, entryVms(1)).get(0);
    limiter.recordSignal(TARGET, new Limited(0), 0);
    TargetFacts restarted =
        new TargetFacts(
            new TargetIncarnation("t", 7), 0, "s", "10.0.0.1", 80, "z1", "r1", 3, false, 0);
    assertFalse(limiter.permits(TARGET, 0));
    assertTrue(limiter.permits(restarted, 0));
  }

  @Test
  void vmWithoutAListOfEntryVmsSendsNothingToALimitedTarget() {
    TargetRateLimiter limiter = TargetRateLimiter.of(EntryVmRanking.of("e-0"), () -> 0.5);
    limiter.recordSignal(TARGET, new Limited(100), 0);
    assertFalse(limiter.permits(TARGET, 1_000));
  }

  @Test
  void requestsGoToOtherTargetsWhileOneIsLimited() {
    PlacementFixture fixture = new PlacementFixture().withFourTargets();
    TargetFacts preferred = fixture.send(1).target().facts();
    fixture.rateLimiter.recordSignal(preferred, new Limited(1), fixture.now);
    Send other = fixture.send(1);
    assertFalse(other.target().facts().equals(preferred));
    assertEquals(other.target(), fixture.send(1).target());
  }

  /** Guards against a limited target that gets nothing although it may get some requests. */
  @Test
  void objectGoesToItsPreferredTargetWheneverThatMayGetARequest() {
    PlacementFixture fixture = new PlacementFixture().withFourTargets();
    TargetState preferred = fixture.send(1).target();
    fixture.rateLimiter.recordSignal(preferred.facts(), new Limited(2), fixture.now);
    int sentToPreferred = 0;
    for (int i = 0; i < 100; i++) {
      fixture.now += 100;
      Send send = fixture.send(1);
      fixture.placement.recordSent(send, fixture.now);
      send.target().endRequest();
      sentToPreferred += send.target() == preferred ? 1 : 0;
    }
    assertEquals(20, sentToPreferred, 1, "of 20 requests that it accepts in 10 s");
  }

  @Test
  void requestIsRefusedUntilTheFirstTargetMayGetOne() {
    PlacementFixture fixture = new PlacementFixture().withTarget("n-1", "n1", "north");
    fixture.rateLimiter.recordSignal(
        fixture.targets.find("n-1").orElseThrow().facts(), new Limited(0.5), fixture.now);
    Refuse refuse = assertInstanceOf(Refuse.class, fixture.place(1, Set.of(), Set.of()));
    assertEquals(Reason.ALL_LIMITED, refuse.reason());
    assertEquals(2_000, refuse.retryAfterMillis());
    fixture.now += refuse.retryAfterMillis();
    Send send = fixture.send(1);
    fixture.placement.recordSent(send, fixture.now);
    assertInstanceOf(Refuse.class, fixture.place(1, Set.of(), Set.of()));
  }
}
