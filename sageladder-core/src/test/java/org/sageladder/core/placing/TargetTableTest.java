package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.TargetTable.Change;

/** Tests which targets an entry VM knows and uses. */
class TargetTableTest {
  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  /**
   * All registrations expire during a store outage although the targets are alive. Removed at once,
   * they would leave every caller without an answer for the two seconds until they are registered
   * again.
   */
  @Test
  void targetRegisteredAgainBeforeScheduledRemovalIsKept() {
    fixture.targets.scheduleRemoval("n-1", 3_000);
    assertEquals(List.of(), fixture.targets.removeDue(2_999));
    fixture.withTarget("n-1", "n1", "north");
    assertEquals(List.of(), fixture.targets.removeDue(9_000));
    fixture.targets.scheduleRemoval("n-2", 9_000);
    assertEquals(List.of(new TargetIncarnation("n-2", 0)), fixture.targets.removeDue(9_000));
    assertEquals(3, fixture.targets.size());
  }

  /**
   * A target got a request 2,533 ms after the store had reported it draining, 33 ms too late: its
   * removal was carried out at the next sweep, up to a quarter of a second after its time.
   */
  @Test
  void scheduledRemovalTakesEffectBeforeSweep() {
    fixture.targets.scheduleRemoval("n-1", 3_000);
    assertEquals(4, fixture.targets.usable("search", 2_999).size());
    assertEquals(3, fixture.targets.usable("search", 3_000).size());
  }

  /** Guards against a first request from each VM to each target of a small region at startup. */
  @Test
  void onlyTargetsThatJoinTargetsWithRequestsAreNewlyJoined() {
    fixture.withTarget("n-3", "n1", "north");
    assertFalse(fixture.targets.find("n-3").orElseThrow().isNewlyJoined());
    fixture.targets.find("s-1").orElseThrow().startRequest();
    fixture.withTarget("n-4", "n1", "north");
    assertTrue(fixture.targets.find("n-4").orElseThrow().isNewlyJoined());
  }

  /**
   * A heartbeat sent before the target started draining arrives late: the target stays draining.
   */
  @Test
  void drainingTargetStaysDraining() {
    TargetFacts ready = PlacementFixture.target("n-1", "n1", "north", 0);
    fixture.targets.put(
        new TargetFacts(
            new TargetIncarnation("n-1", 0),
            0,
            "search",
            "10.0.0.1",
            80,
            "n1",
            "north",
            3,
            true,
            0),
        1);
    fixture.targets.put(ready, 2);
    assertFalse(fixture.targets.acceptsRequests(fixture.targets.find("n-1").orElseThrow(), 3));
  }

  private static TargetFacts startedAt(
      long startedAtMillis, long sequence, long remainingColdMillis) {
    TargetFacts plain = PlacementFixture.target("n-1", "n1", "north", remainingColdMillis);
    return new TargetFacts(
        new TargetIncarnation("n-1", startedAtMillis),
        sequence,
        plain.service(),
        plain.host(),
        plain.port(),
        plain.zone(),
        plain.region(),
        plain.slots(),
        false,
        remainingColdMillis);
  }

  /**
   * A target crashed while it was partitioned from the network and was restarted under the same id;
   * its registration never expired. If it were taken for the previous incarnation, it would get
   * requests for objects that it no longer has cached, be avoided because of earlier failures, and
   * never be used again if it had been draining.
   */
  @Test
  void restartUnderSameIdResetsState() {
    TargetTable table = TargetTable.create();
    assertEquals(Change.JOINED, table.put(startedAt(1_000, 7, 0).asDraining(), 1));
    TargetState previous = table.find("n-1").orElseThrow();
    previous.recordObject(5);
    previous.startRequest();
    previous.avoidUntil(90_000);
    previous.recordOutcome(false, 1);
    table.scheduleRemoval("n-1", 50);
    assertEquals(Change.STARTED_AGAIN, table.put(startedAt(2_000, 0, 3_000), 2));
    TargetState restarted = table.find("n-1").orElseThrow();
    assertFalse(restarted.hasCached(5));
    assertFalse(restarted.isAvoided(3));
    assertTrue(restarted.isCold(3));
    assertEquals(0, restarted.inFlight());
    assertEquals(0, restarted.failureShare(3));
    assertEquals(List.of(), table.removeDue(60));
    assertTrue(table.acceptsRequests(restarted, 60));
    previous.endRequest();
    assertEquals(0, restarted.inFlight());
  }

  /**
   * A delayed heartbeat of the previous incarnation arrives after that of the new one. If it were
   * accepted, the target would be treated as warm and its new load would be lost.
   */
  @Test
  void olderRegistrationHasNoEffect() {
    TargetTable table = TargetTable.create();
    table.put(startedAt(2_000, 4, 3_000), 1);
    assertEquals(Change.OUTDATED, table.put(startedAt(1_000, 90, 0), 2));
    assertEquals(Change.OUTDATED, table.put(startedAt(2_000, 3, 0), 2));
    assertTrue(table.find("n-1").orElseThrow().isCold(3));
    assertEquals(Change.CHANGED, table.put(startedAt(2_000, 5, 0), 3));
    assertFalse(table.find("n-1").orElseThrow().isCold(4));
  }

  /** A target that does not report its start time is identified by its id alone. */
  @Test
  void withoutStartTimeOnlyIdDistinguishesIncarnations() {
    TargetTable table = TargetTable.create();
    table.put(startedAt(0, 9, 0), 1);
    assertEquals(Change.CHANGED, table.put(startedAt(0, 1, 0), 2));
    assertEquals(Change.CHANGED, table.put(startedAt(5_000, 2, 0), 3));
    assertEquals(Change.CHANGED, table.put(startedAt(0, 3, 0), 4));
  }

  /**
   * A request sent to the previous incarnation is answered "another target is there" after the new
   * one was registered: the new one must stay.
   */
  @Test
  void onlyMatchingIncarnationIsRemoved() {
    TargetTable table = TargetTable.create();
    table.put(startedAt(2_000, 0, 0), 1);
    table.remove(new TargetIncarnation("n-1", 1_000));
    assertTrue(table.find("n-1").isPresent());
    table.remove(new TargetIncarnation("n-1", 2_000));
    assertFalse(table.find("n-1").isPresent());
  }

  /**
   * The targets of an evacuated zone have turned cold; after the evacuation they get few requests.
   */
  @Test
  void targetsAreColdAfterEvacuationEnds() {
    fixture.targets.evacuateZone("n1");
    fixture.targets.endEvacuation("n1", 5_000, 3_000);
    TargetState target = fixture.targets.find("n-1").orElseThrow();
    assertTrue(target.isCold(7_999));
    assertFalse(target.isCold(8_000));
  }

  /** Guards against a drain that is forgotten when the target's registration lapses. */
  @Test
  void drainStatedInAnAnswerOutlivesTheRegistration() {
    TargetIncarnation draining = new TargetIncarnation("n-1", 0);
    assertTrue(fixture.targets.markDraining(draining));
    assertFalse(fixture.targets.markDraining(draining));
    assertEquals(3, fixture.targets.usable("search", 0).size());
    fixture.targets.remove(draining);
    fixture.withTarget("n-1", "n1", "north");
    assertEquals(3, fixture.targets.usable("search", 0).size());
  }

  @Test
  void drainStatedInAnAnswerEndsWithTheIncarnation() {
    TargetTable table = TargetTable.create();
    table.put(startedAt(1_000, 0, 0), 0);
    table.markDraining(new TargetIncarnation("n-1", 1_000));
    assertEquals(0, table.usable("search", 0).size());
    table.put(startedAt(2_000, 0, 0), 0);
    assertEquals(1, table.usable("search", 0).size());
  }

  @Test
  void targetThatWantsNoRequestsIsUsableAgainAfterwards() {
    TargetIncarnation target = new TargetIncarnation("n-1", 0);
    fixture.targets.backOffUntil(target, 3_000);
    fixture.targets.backOffUntil(target, 2_000);
    assertEquals(3, fixture.targets.usable("search", 2_999).size());
    assertEquals(4, fixture.targets.usable("search", 3_000).size());
  }

  /** Guards against a retry-after time that ends before any target accepts requests again. */
  @Test
  void refusalNamesTheTimeOfTheFirstTargetThatAcceptsRequestsAgain() {
    for (String id : List.of("n-1", "n-2", "s-1", "s-2")) {
      fixture.targets.backOffUntil(new TargetIncarnation(id, 0), fixture.now + 3_000);
    }
    fixture.targets.backOffUntil(new TargetIncarnation("n-1", 0), fixture.now + 5_000);
    fixture.targets.markDraining(new TargetIncarnation("n-2", 0));
    Refuse anywhere = (Refuse) fixture.place(1, Set.of(), Set.of());
    assertEquals(Reason.ALL_BACKED_OFF, anywhere.reason());
    assertEquals(3_000, anywhere.retryAfterMillis());
    Refuse north = (Refuse) fixture.place(1, Set.of(), Set.of("north"));
    assertEquals(5_000, north.retryAfterMillis());
  }

  @Test
  void slotsOfTargetsThatWantNoRequestsAreNoCapacity() {
    assertEquals(0.5, fixture.targets.slotShare("search", "north", 0));
    fixture.targets.backOffUntil(new TargetIncarnation("n-1", 0), 3_000);
    assertEquals(1.0 / 3, fixture.targets.slotShare("search", "north", 0));
    fixture.targets.markDraining(new TargetIncarnation("n-2", 0));
    assertEquals(0, fixture.targets.slotShare("search", "north", 0));
    assertEquals(1.0 / 3, fixture.targets.slotShare("search", "north", 3_000));
  }
}
