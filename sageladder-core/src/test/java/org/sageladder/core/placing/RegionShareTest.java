package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which objects a region keeps. */
class RegionShareTest {
  private static final int OBJECTS = 10_000;

  private static long kept(double vmShare, double slotShare) {
    RegionShare share = new RegionShare();
    share.vmShare(vmShare);
    Random random = new Random(1);
    long kept = 0;
    for (int i = 0; i < OBJECTS; i++) {
      kept += share.keeps(random.nextLong(), slotShare) ? 1 : 0;
    }
    return kept;
  }

  /** Guards against a region whose few targets have queues while those of others stand idle. */
  @Test
  void regionWithFewSlotsKeepsAsManyObjectsAsItsSlotsBear() {
    assertEquals(0.3 * OBJECTS, kept(1.0 / 3, 0.1), 0.02 * OBJECTS);
  }

  @Test
  void regionWithEnoughSlotsKeepsAll() {
    assertEquals(OBJECTS, kept(1.0 / 3, 0.4));
    assertEquals(OBJECTS, kept(0, 0.1));
  }

  /** Guards against objects that change region as the share wavers. */
  @Test
  void smallerShareKeepsNoOtherObjects() {
    RegionShare more = new RegionShare();
    RegionShare less = new RegionShare();
    more.vmShare(0.3);
    less.vmShare(0.35);
    Random random = new Random(2);
    for (int i = 0; i < OBJECTS; i++) {
      long object = random.nextLong();
      assertTrue(more.keeps(object, 0.1) || !less.keeps(object, 0.1));
    }
  }
}
