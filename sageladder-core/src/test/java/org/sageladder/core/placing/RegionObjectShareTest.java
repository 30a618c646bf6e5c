package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests which objects a region retains. */
class RegionObjectShareTest {
  private static final int OBJECT_COUNT = 10_000;
  private static final double THIRD = 1.0 / 3;
  private static final double SETTLE_MILLIS = 2_000 / 0.15;

  private static RegionObjectShare share(double zoneShare) {
    RegionObjectShare share = RegionObjectShare.create(() -> SETTLE_MILLIS);
    share.updateZoneShare(zoneShare);
    return share;
  }

  private static int countRetained(
      RegionObjectShare share, double slotShare, double utilization, long now) {
    Random random = new Random(1);
    int retained = 0;
    for (int i = 0; i < OBJECT_COUNT; i++) {
      retained += share.retains(random.nextLong(), "s", slotShare, utilization, now) ? 1 : 0;
    }
    return retained;
  }

  /** Guards against queues at the few targets of a region while those of other regions are idle. */
  @Test
  void regionWithFewSlotsRetainsOnlyWhatItsSlotsCanServe() {
    RegionObjectShare share = share(THIRD);
    assertEquals(0.3 * OBJECT_COUNT, countRetained(share, 0.1, 0, 0), 0.02 * OBJECT_COUNT);
    assertEquals(0.3 * OBJECT_COUNT, countRetained(share, 0.1, 0.6, 60_000), 0.02 * OBJECT_COUNT);
    assertEquals(0.6 * OBJECT_COUNT, countRetained(share, 0.1, 0.3, 120_000), 0.02 * OBJECT_COUNT);
  }

  @Test
  void regionWithEnoughSlotsOrLittleLoadRetainsAllObjects() {
    assertEquals(OBJECT_COUNT, countRetained(share(THIRD), 0.4, 1, 0));
    assertEquals(OBJECT_COUNT, countRetained(share(0), 0.1, 1, 0));
    RegionObjectShare lightlyLoaded = share(THIRD);
    countRetained(lightlyLoaded, 0.1, 0.1, 0);
    assertEquals(OBJECT_COUNT, countRetained(lightlyLoaded, 0.1, 0.1, 60_000));
  }

  /** Guards against requests that change region together as soon as the load is known. */
  @Test
  void retainedFractionChangesNoFasterThanShiftLimit() {
    RegionObjectShare share = share(THIRD);
    double before = share.retainedFraction("s", 0.1, 0, 0);
    for (long now = 0; now <= 2_000; now += 10) {
      share.retainedFraction("s", 0.1, 0.05, now);
    }
    double moved = share.retainedFraction("s", 0.1, 0.05, 2_000) - before;
    assertTrue(moved > 0.05 && moved < 0.15, "moved " + moved);
  }
}
