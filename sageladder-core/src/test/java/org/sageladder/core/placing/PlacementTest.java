package org.sageladder.core.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;

/** Where a request goes. */
class PlacementTest {
  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  /**
   * Searchers of one song wait three times as long as they need where each of their requests meets
   * a target that does not know it: two entry VMs that never talk must choose the same target.
   */
  @Test
  void twoEntryVmsChooseTheSameTargetForAnObject() {
    PlacementFixture other = new PlacementFixture().withFourTargets();
    for (long object = 0; object < 50; object++) {
      assertEquals(
          fixture.send(object).target().facts().id(), other.send(object).target().facts().id());
    }
  }

  @Test
  void staysInOwnRegionWhileSlotsAreFree() {
    for (long object = 0; object < 50; object++) {
      assertEquals("north", fixture.send(object).target().facts().region());
    }
  }

  /**
   * A lot that everybody looks at fills its target's slots; the next request must not queue behind
   * them while the other region's target, which knows the lot from its own callers, has slots free.
   */
  @Test
  void choosesAnotherTargetOnceSlotsAreFull() {
    fixture.roundTripTimes.recordConnect("s1", 20);
    fixture.roundTripTimes.recordConnect("s2", 20);
    for (int i = 0; i < 6; i++) {
      Send send = fixture.send(7);
      assertTrue(send.target().load(fixture.now) < 3, "queues behind " + send.target().facts());
      fixture.placement.recordSent(send, fixture.now);
    }
  }

  /**
   * A contract that binds a customer's requests to a region holds also while that region is full.
   */
  @Test
  void neverLeavesTheAllowedRegions() {
    for (int i = 0; i < 40; i++) {
      PlacementDecision decision = fixture.place(i, Set.of(), Set.of("south"));
      if (decision instanceof Send send) {
        assertEquals("south", send.target().facts().region());
        fixture.placement.recordSent(send, fixture.now);
      }
    }
    assertInstanceOf(Refuse.class, fixture.place(1, Set.of(), Set.of("west")));
  }

  /** A target that says it leaves, and a zone that operators empty, get nothing from then on. */
  @Test
  void drainingTargetsAndEvacuatedZonesGetNoRequests() {
    Send first = fixture.send(7);
    fixture.targets.evacuateZone(first.target().facts().zone());
    Send second = fixture.send(7);
    assertNotEquals(first.target().facts().zone(), second.target().facts().zone());
    TargetFacts facts = second.target().facts();
    fixture.targets.put(facts.asDraining(), fixture.now);
    assertNotEquals(facts.id(), fixture.send(7).target().facts().id());
  }

  /**
   * An operator adds a route; its requests take 5 ms and have little time. Nothing is known of its
   * runs, and the guess is one and a half goals: refused for a wait and a run that together seem
   * too long, it is never served, and nothing is ever learnt. 31 of 32 were refused so.
   */
  @Test
  void guessedRunTimeDoesNotCauseRefusal() {
    double runMillis = fixture.send(1).expectedRunMillis();
    for (String id : new String[] {"n-1", "n-2", "s-1", "s-2"}) {
      TargetState target = fixture.targets.find(id).orElseThrow();
      for (int i = 0; i < 4; i++) {
        target.startRequest();
      }
    }
    long remainingMillis = Math.round(runMillis);
    PlacementRequest request =
        new PlacementRequest(PlacementFixture.route(Set.of()), "search", 1, remainingMillis);
    PlacementDecision decision =
        fixture.placement.place(request, PlacementFixture.SERVICE, Set.of(), fixture.now);
    Send send = assertInstanceOf(Send.class, decision);
    assertTrue(
        send.expectedWaitMillis() > 0
            && send.expectedWaitMillis() + send.expectedRunMillis() > remainingMillis);
  }

  /** A caller whose request cannot begin before its time is up is told so at once. */
  @Test
  void refusesRequestThatCannotStartBeforeDeadline() {
    PlacementRequest request =
        new PlacementRequest(PlacementFixture.route(Set.of()), "search", 1, 2_000);
    Send first = fixture.send(1);
    fixture.placement.recordSent(first, fixture.now);
    first.target().endRequest();
    LoadReport idle = new LoadReport(0, 0, 3);
    fixture.placement.recordAnswer(request, first, 600, idle, fixture.now);
    PlacementDecision decision = fixture.place(1, Set.of(), Set.of());
    int sent = 0;
    while (decision instanceof Send send) {
      fixture.placement.recordSent(send, fixture.now);
      sent++;
      decision = fixture.place(sent, Set.of(), Set.of());
    }
    Refuse refuse = (Refuse) decision;
    assertEquals(Reason.TOO_LATE, refuse.reason());
    assertTrue(sent > 12, "12 slots, but only " + sent + " were sent");
    assertTrue(
        refuse.retryAfterMillis() > 1_000, "told to come back after " + refuse.retryAfterMillis());
  }

  /**
   * Tartu's few targets were crowded by 22 entry VMs while Pärnu's had slots free: each VM heard of
   * a target's load every few seconds and took it for idle in between. The mean of what it heard
   * counts.
   */
  @Test
  void targetWithRepeatedFullReportsIsNotAssumedIdle() {
    TargetState target = fixture.targets.find("n-1").orElseThrow();
    for (int i = 0; i < 30; i++) {
      fixture.now += 3_000;
      target.recordReport(new LoadReport(3, 4, 3), fixture.now);
    }
    assertTrue(target.load(fixture.now + 3_000) > 6, "load " + target.load(fixture.now + 3_000));
  }

  /** A target that was not reached is left alone while there are others. */
  @Test
  void avoidsUnreachableTarget() {
    Send first = fixture.send(7);
    first.target().avoidUntil(fixture.now + 1_000);
    assertNotEquals(first.target().facts().id(), fixture.send(7).target().facts().id());
    fixture.now += 1_000;
    assertEquals(first.target().facts().id(), fixture.send(7).target().facts().id());
  }

  /** Requests that were tried everywhere are not sent a second time to the same target. */
  @Test
  void neverChoosesTriedTarget() {
    Set<String> tried = new HashSet<>(Set.of("n-1", "n-2", "s-1", "s-2"));
    Refuse refuse = (Refuse) fixture.place(1, tried, Set.of());
    assertEquals(Reason.ALL_TRIED, refuse.reason());
  }
}
