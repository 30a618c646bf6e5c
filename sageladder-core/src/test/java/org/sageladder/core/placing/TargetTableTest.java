package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which targets an entry VM knows. */
class TargetTableTest {
  private final PlacingFixture fixture = new PlacingFixture().withFour();

  /**
   * The store was away and all entries lapsed; the targets live. Removed at once they would leave
   * every caller without an answer for the two seconds until they are back.
   */
  @Test
  void aLapsedEntryThatIsBackInTimeIsKept() {
    fixture.targets.removeAt("n-1", 3_000);
    assertEquals(List.of(), fixture.targets.sweep(2_999));
    fixture.with("n-1", "n1", "north");
    assertEquals(List.of(), fixture.targets.sweep(9_000));
    fixture.targets.removeAt("n-2", 9_000);
    assertEquals(List.of("n-2"), fixture.targets.sweep(9_000));
    assertEquals(3, fixture.targets.size());
  }

  /**
   * A target that leaves got a request 2,533 ms after the store had said so, 33 ms too late: its
   * removal was carried out at the next sweep, up to a quarter of a second after its time.
   */
  @Test
  void aRemovalCountsFromItsMoment() {
    fixture.targets.removeAt("n-1", 3_000);
    assertEquals(4, fixture.targets.usable("search", 2_999).size());
    assertEquals(3, fixture.targets.usable("search", 3_000).size());
  }

  /** A heartbeat that was sent before the target said it leaves comes late: it is leaving still. */
  @Test
  void aLeavingTargetStaysSo() {
    TargetFacts ready = PlacingFixture.target("n-1", "n1", "north", 0);
    fixture.targets.put(
        new TargetFacts("n-1", "search", "10.0.0.1", 80, "n1", "north", 3, true, 0), 1);
    fixture.targets.put(ready, 2);
    assertFalse(fixture.targets.takesWork(fixture.targets.find("n-1").orElseThrow(), 3));
  }

  /**
   * The targets of a zone that was empty for a while have turned cold: taken back, they get little.
   */
  @Test
  void aZoneTakenBackIsCold() {
    fixture.targets.empty("n1");
    fixture.targets.takeBack("n1", 5_000, 3_000);
    TargetState target = fixture.targets.find("n-1").orElseThrow();
    assertTrue(target.isCold(7_999));
    assertFalse(target.isCold(8_000));
  }
}
