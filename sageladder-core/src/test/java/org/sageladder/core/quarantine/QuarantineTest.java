package org.sageladder.core.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that requests that crash targets, and no others, are quarantined. */
class QuarantineTest {
  private static final long POISON = 666;
  private static final long START = 1_000_000;

  private final Quarantine quarantine = Quarantine.create(Quarantine.Limits.standard());

  private static CrashReport crash(int target, long atMillis, Long... fingerprints) {
    return new CrashReport("t-" + target, 1, START + atMillis, Set.of(fingerprints));
  }

  /**
   * Guards against a request that crashes every target it reaches: the caller sends it again after
   * each crash, until no target is left.
   */
  @Test
  void secondCrashQuarantinesOnlyTheCommonRequest() {
    quarantine.add(crash(1, 0, POISON, 1L, 2L));
    assertFalse(quarantine.isQuarantined(POISON, START + 1));
    quarantine.add(crash(2, 900, POISON, 3L, 4L));
    assertTrue(quarantine.isQuarantined(POISON, START + 901));
    for (long innocent = 1; innocent <= 4; innocent++) {
      assertFalse(quarantine.isQuarantined(innocent, START + 901));
    }
  }

  /**
   * Guards against refusing a request for ever, although its cause may have been repaired on the
   * server.
   */
  @Test
  void quarantineExpiresAndDoublesWithNextCrash() {
    quarantine.add(crash(1, 0, POISON));
    quarantine.add(crash(2, 0, POISON));
    assertEquals(60_000, quarantine.remainingMillis(POISON, START));
    assertFalse(quarantine.isQuarantined(POISON, START + 60_000));
    quarantine.add(crash(3, 61_000, POISON));
    assertEquals(120_000, quarantine.remainingMillis(POISON, START + 61_000));
  }

  /**
   * Guards against quarantining an innocent request: ten targets of a zone fail within a second,
   * and a search that was retried within the zone was on two of them.
   */
  @Test
  void requestRetriedDuringZoneFailureIsNotQuarantined() {
    long search = 5;
    for (int target = 0; target < 10; target++) {
      quarantine.add(
          target == 2 || target == 7
              ? crash(target, target * 100L, search, 100L + target)
              : crash(target, target * 100L, 100L + target, 200L + target));
    }
    assertFalse(quarantine.isQuarantined(search, START + 1_000));
  }

  /** Guards against requests that crash targets for as long as others crash targets as well. */
  @Test
  void severalCrashingRequestsAreQuarantinedAndNothingBesideThem() {
    long popular = 2_000;
    long[] crashing = {POISON, POISON + 1, POISON + 2, POISON + 3, POISON + 4};
    int target = 0;
    long atMillis = 0;
    for (int round = 0; round < 3; round++) {
      for (long request : crashing) {
        long waiting = 1_000L + target;
        quarantine.add(crash(target, atMillis, request, waiting, popular));
        target++;
        atMillis += 300;
      }
    }
    quarantine.recordSuccess(popular, START + atMillis);
    assertEquals(
        Set.of(POISON, POISON + 1, POISON + 2, POISON + 3, POISON + 4),
        quarantine.quarantined(START + atMillis));
  }

  /** Guards against a request that only waits beside one that crashes its targets. */
  @Test
  void requestBesideAnotherThatCrashedItsTargetsIsNotQuarantined() {
    long waiting = 9;
    quarantine.add(crash(1, 0, POISON, waiting));
    quarantine.add(crash(2, 400, POISON));
    quarantine.add(crash(3, 800, POISON, waiting));
    assertTrue(quarantine.isQuarantined(POISON, START + 900));
    assertFalse(quarantine.isQuarantined(waiting, START + 900));
  }

  /** Guards against later crashes of another cause that end a quarantine early. */
  @Test
  void quarantineOutlastsLaterCrashesOfAnotherCause() {
    for (int target = 0; target < 3; target++) {
      quarantine.add(crash(target, target * 400L, POISON));
    }
    for (int target = 10; target < 30; target++) {
      quarantine.add(crash(target, 2_000 + target, 100L + target));
    }
    assertTrue(quarantine.isQuarantined(POISON, START + 3_000));
  }

  /** Guards against holding back a popular request that was in flight wherever targets crashed. */
  @Test
  void requestThatRanWellSinceIsNotQuarantined() {
    long popular = 5;
    for (int target = 0; target < 6; target++) {
      quarantine.add(crash(target, target * 10L, popular, 100L + target));
    }
    assertTrue(quarantine.isQuarantined(popular, START + 60));
    quarantine.recordSuccess(popular, START + 70);
    assertFalse(quarantine.isQuarantined(popular, START + 71));
    assertEquals(0, quarantine.crashCount(popular));
  }

  /**
   * Entry VMs receive reports of the same crashes in different orders and must refuse the same
   * requests.
   */
  @Test
  void decisionDoesNotDependOnOrderOfReports() {
    List<CrashReport> reports = new ArrayList<>();
    Random random = new Random(20_261_202);
    for (int target = 0; target < 40; target++) {
      long at = random.nextInt(60_000);
      reports.add(crash(target, at, (long) random.nextInt(8), 10L + random.nextInt(8)));
    }
    Quarantine first = Quarantine.create(Quarantine.Limits.standard());
    reports.forEach(first::add);
    for (int round = 0; round < 20; round++) {
      Collections.shuffle(reports, random);
      Quarantine other = Quarantine.create(Quarantine.Limits.standard());
      reports.forEach(other::add);
      for (long fingerprint = 0; fingerprint < 20; fingerprint++) {
        assertEquals(
            first.remainingMillis(fingerprint, START), other.remainingMillis(fingerprint, START));
      }
    }
  }

  /** One crash reported by two entry VMs must not count as two crashes. */
  @Test
  void crashReportedByTwoVmsCountsOnce() {
    quarantine.add(crash(1, 0, POISON));
    assertTrue(quarantine.add(crash(1, 5, POISON, 7L)));
    assertFalse(quarantine.add(crash(1, 5, POISON)));
    assertFalse(quarantine.isQuarantined(POISON, START + 10));
  }

  /** A report must be decoded as it was encoded. */
  @Test
  void encodedReportDecodesUnchanged() throws java.io.IOException {
    CrashReport report = crash(3, 7, POISON, 8L);
    assertEquals(report, CrashReportCodec.decode(CrashReportCodec.encode(report)));
  }
}
