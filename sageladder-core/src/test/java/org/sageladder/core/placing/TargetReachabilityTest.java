package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetReachabilityTest {
  private final TargetTable targets = TargetTable.create();
  private final TargetReachability reachability = TargetReachability.create();

  private TargetFacts target(String id, String service) {
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation(id, 0), 0, service, "10.0.0.1", 80, "z", "r", 2, false, 0);
    targets.put(facts, 0);
    return facts;
  }

  @Test
  void severalUnreachedTargetsInARowAreALoss() {
    for (int i = 0; i < 4; i++) {
      target("a" + i, "a");
      target("b" + i, "b");
    }
    assertFalse(reachability.recordUnreached(target("a0", "a"), targets, 1));
    assertFalse(reachability.recordUnreached(target("b0", "b"), targets, 2));
    assertFalse(reachability.recordUnreached(target("b0", "b"), targets, 3));
    assertTrue(reachability.recordUnreached(target("b1", "b"), targets, 4));
    assertTrue(reachability.areAllLost());
    assertTrue(reachability.isLost("a"));
  }

  @Test
  void serviceIsLostAloneWhileOthersAnswer() {
    for (int i = 0; i < 3; i++) {
      target("a" + i, "a");
    }
    for (int i = 0; i < 3; i++) {
      reachability.recordUnreached(target("a" + i, "a"), targets, i);
      reachability.recordReached(target("b0", "b"), i);
    }
    assertTrue(reachability.isLost("a"));
    assertFalse(reachability.isLost("b"));
    assertEquals(Set.of("a"), reachability.lostServices());
  }

  @Test
  void lossEndsWithTheFirstReachedTarget() {
    reachability.recordUnreached(target("a0", "a"), targets, 1);
    assertTrue(reachability.isLost("a"));
    assertTrue(reachability.recordReached(target("a0", "a"), 2));
    assertFalse(reachability.isLost("a"));
    assertTrue(reachability.wasLostRecently("a", 3));
    assertFalse(reachability.wasLostRecently("a", 60_000));
  }

  /** Guards against a loss that is made up of targets that crashed long after each other. */
  @Test
  void failuresFarApartAreNoLoss() {
    for (int i = 0; i < 4; i++) {
      target("a" + i, "a");
    }
    for (int i = 0; i < 4; i++) {
      assertFalse(reachability.recordUnreached(target("a" + i, "a"), targets, i * 6_000L));
    }
  }
}
