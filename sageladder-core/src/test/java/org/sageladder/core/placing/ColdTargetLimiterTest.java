package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;

/** Tests the limit on requests from all entry VMs together to cold targets. */
class ColdTargetLimiterTest {
  private static final double COLD_REQUESTS_PER_SECOND = 3.1;
  private static final int MAX_REQUESTS_PER_SECOND = (int) (COLD_REQUESTS_PER_SECOND * 1.5 + 5);

  private static List<EntryVmLocation> entryVms(int count) {
    List<EntryVmLocation> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(new EntryVmLocation("e-" + i, "z" + i % 6, "r" + i % 3));
    }
    return entries;
  }

  /**
   * Guards against twelve entry VMs that each send as much as a cold target can handle and so crash
   * it and its replacement. Each VM sends at its maximum rate for two seconds; no second may have
   * more than the limit from all of them together.
   */
  @Test
  void combinedRequestsOfAllEntryVmsStayWithinLimit() {
    for (int vmCount : new int[] {1, 2, 3, 8, 12, 85}) {
      List<EntryVmLocation> entryVms = entryVms(vmCount);
      List<ColdTargetLimiter> limiters = new ArrayList<>();
      for (EntryVmLocation entry : entryVms) {
        EntryVmRanking ranking = EntryVmRanking.of(entry.name());
        ColdTargetLimiter limiter = ColdTargetLimiter.of(ranking, 1.5, 5);
        ranking.update(entryVms, -2_000);
        limiters.add(limiter);
      }
      TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
      List<Long> sent = new ArrayList<>();
      for (long now = 0; now < 2_000; now += 10) {
        for (ColdTargetLimiter limiter : limiters) {
          if (limiter.permits(target, COLD_REQUESTS_PER_SECOND, now)) {
            limiter.recordSent(target, now);
            sent.add(now);
          }
        }
      }
      for (long from : sent) {
        long inSecond = sent.stream().filter(at -> at >= from && at < from + 1_000).count();
        assertTrue(
            inSecond <= MAX_REQUESTS_PER_SECOND,
            vmCount + " VMs sent " + inSecond + " in a second");
      }
      assertTrue(
          sent.size() >= MAX_REQUESTS_PER_SECOND - 2, vmCount + " VMs sent only " + sent.size());
    }
  }

  /**
   * An entry VM that has just started has no list of the others yet; until then it sends nothing to
   * cold targets.
   */
  @Test
  void permitsNothingBeforeFirstEntryVmList() {
    ColdTargetLimiter limiter = ColdTargetLimiter.of(EntryVmRanking.of("e-0"), 1.5, 5);
    TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
    assertEquals(false, limiter.permits(target, COLD_REQUESTS_PER_SECOND, 0));
  }

  /**
   * During a store outage all registrations expire; when the store is back, a zone's targets are
   * cold. Each of twelve entry VMs saw only itself for most of a second and used the whole limit: a
   * target got 14 requests in a second.
   */
  @Test
  void vmThatSeesOnlyItselfAfterRegistrationsExpireKeepsItsShare() {
    List<EntryVmLocation> entries = entryVms(12);
    TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
    int sent = 0;
    for (EntryVmLocation entry : entries) {
      EntryVmRanking ranking = EntryVmRanking.of(entry.name());
      ColdTargetLimiter limiter = ColdTargetLimiter.of(ranking, 1.5, 5);
      ranking.update(entries, 0);
      ranking.update(List.of(entry), 20_000);
      while (limiter.permits(target, COLD_REQUESTS_PER_SECOND, 20_100)) {
        limiter.recordSent(target, 20_100);
        sent++;
      }
    }
    assertTrue(sent <= MAX_REQUESTS_PER_SECOND, "all VMs together sent " + sent);
  }

  /** Guards against a restarted VM that sends the share of its earlier process once more. */
  @Test
  void restartedVmsLeaveRoomForWhatTheirEarlierProcessesSent() {
    List<EntryVmLocation> entries = entryVms(6);
    TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
    List<Long> sent = new ArrayList<>();
    for (long startMillis : new long[] {0, 2_010, 4_020}) {
      for (EntryVmLocation entry : entries) {
        EntryVmRanking ranking = EntryVmRanking.of(entry.name());
        ColdTargetLimiter limiter = ColdTargetLimiter.of(ranking, 1.5, 5);
        ranking.update(entries, startMillis);
        for (long now = startMillis; now < startMillis + 2_000; now += 10) {
          if (limiter.permits(target, COLD_REQUESTS_PER_SECOND, now)) {
            limiter.recordSent(target, now);
            sent.add(now);
          }
        }
      }
    }
    for (long from : sent) {
      long inSecond = sent.stream().filter(at -> at >= from && at < from + 1_000).count();
      assertTrue(inSecond <= MAX_REQUESTS_PER_SECOND, inSecond + " in the second from " + from);
    }
  }

  /** The share of a VM that has been missing for a minute goes to the others. */
  @Test
  void shareOfMissingVmIsReassignedAfterGracePeriod() {
    List<EntryVmLocation> entries = entryVms(2);
    EntryVmRanking ranking = EntryVmRanking.of("e-0");
    ColdTargetLimiter limiter = ColdTargetLimiter.of(ranking, 1.5, 5);
    TargetFacts target = PlacementFixture.target("t", "z0", "r0", 3_000);
    ranking.update(entries, 0);
    ranking.update(entries.subList(0, 1), 1_000);
    ranking.update(entries.subList(0, 1), 61_000);
    int sent = 0;
    while (limiter.permits(target, COLD_REQUESTS_PER_SECOND, 61_000)) {
      limiter.recordSent(target, 61_000);
      sent++;
    }
    assertEquals(MAX_REQUESTS_PER_SECOND - 1, sent);
  }
}
