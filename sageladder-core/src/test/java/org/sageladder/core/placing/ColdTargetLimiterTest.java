package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;

/** What cold targets get from all entry VMs together. */
class ColdTargetLimiterTest {
  private static final double RATE = 3.1;
  private static final int BOUND = (int) (RATE * 1.5 + 5);

  private static List<EntryVmLocation> entries(int count) {
    List<EntryVmLocation> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(new EntryVmLocation("e-" + i, "z" + i % 6, "r" + i % 3));
    }
    return entries;
  }

  /**
   * Twelve entry VMs that each send what a cold target bears crash it, and its successor. Each
   * sends as fast as it may for two seconds; no second may see more than the bound from all of them
   * together.
   */
  @Test
  void allEntryVmsTogetherStayUnderTheBound() {
    for (int machines : new int[] {1, 2, 3, 8, 12, 85}) {
      List<EntryVmLocation> entries = entries(machines);
      List<ColdTargetLimiter> allowances = new ArrayList<>();
      for (EntryVmLocation entry : entries) {
        ColdTargetLimiter allowance = ColdTargetLimiter.of(entry.name(), 1.5, 5);
        allowance.updateEntryVms(entries, 0);
        allowances.add(allowance);
      }
      TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
      List<Long> sent = new ArrayList<>();
      for (long now = 0; now < 2_000; now += 10) {
        for (ColdTargetLimiter allowance : allowances) {
          if (allowance.permits(target, RATE, now)) {
            allowance.recordSent(target, now);
            sent.add(now);
          }
        }
      }
      for (long from : sent) {
        long inSecond = sent.stream().filter(at -> at >= from && at < from + 1_000).count();
        assertTrue(inSecond <= BOUND, machines + " VMs sent " + inSecond + " in a second");
      }
      assertTrue(sent.size() >= BOUND - 2, machines + " VMs sent only " + sent.size());
    }
  }

  /**
   * An entry VM that has just started knows no other; until it does it sends nothing to cold
   * targets.
   */
  @Test
  void sendsNothingBeforeTheOthersAreKnown() {
    ColdTargetLimiter allowance = ColdTargetLimiter.of("e-0", 1.5, 5);
    TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
    assertEquals(false, allowance.permits(target, RATE, 0));
  }

  /**
   * The store falls silent, and all registrations lapse with it; when it is back, a zone's targets
   * are cold. Each of twelve entry VMs sees only itself for most of a second, and each sent what
   * the target bears from all of them: it got 14 requests in a second.
   */
  @Test
  void aVmThatSeesOnlyItselfAfterALapseDoesNotTakeEverybodysPart() {
    List<EntryVmLocation> entries = entries(12);
    TargetFacts target = PlacementFixture.target("t", "z1", "r1", 3_000);
    int sent = 0;
    for (EntryVmLocation entry : entries) {
      ColdTargetLimiter allowance = ColdTargetLimiter.of(entry.name(), 1.5, 5);
      allowance.updateEntryVms(entries, 0);
      allowance.updateEntryVms(List.of(entry), 20_000);
      while (allowance.permits(target, RATE, 20_100)) {
        allowance.recordSent(target, 20_100);
        sent++;
      }
    }
    assertTrue(sent <= BOUND, "all together sent " + sent);
  }

  /** A VM that has been gone for a minute does not keep its part for ever. */
  @Test
  void aVmThatIsGoneForLongIsForgotten() {
    List<EntryVmLocation> entries = entries(2);
    ColdTargetLimiter allowance = ColdTargetLimiter.of("e-0", 1.5, 5);
    TargetFacts target = PlacementFixture.target("t", "z0", "r0", 3_000);
    allowance.updateEntryVms(entries, 0);
    allowance.updateEntryVms(entries.subList(0, 1), 1_000);
    allowance.updateEntryVms(entries.subList(0, 1), 61_000);
    int sent = 0;
    while (allowance.permits(target, RATE, 61_000)) {
      allowance.recordSent(target, 61_000);
      sent++;
    }
    assertEquals(BOUND - 1, sent);
  }
}
