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

/** Tests the choice of a target. */
class PlacementTest {
  private final PlacementFixture fixture = new PlacementFixture().withFourTargets();

  /**
   * Two entry VMs must choose the same target for an object without communication. Otherwise
   * requests for it reach targets that are cold for it and take three times as long.
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
   * A popular object fills its target's slots. The next request must not queue there while a target
   * of another region, which is warm for the object, has free slots.
   */
  @Test
  void choosesAnotherTargetOnceSlotsAreFull() {
    fixture.roundTripTimes.recordConnect("s1", 20);
    fixture.roundTripTimes.recordConnect("s2", 20);
    for (int i = 0; i < 6; i++) {
      Send send = fixture.send(7);
      assertTrue(send.target().load(fixture.now) < 3, "queued at " + send.target().facts());
      fixture.placement.recordSent(send, fixture.now);
    }
  }

  /** The regions that a route allows are binding even while they are full. */
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

  /** A draining target and an evacuated zone get no further requests. */
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
   * An operator adds a route; its requests take 5 ms and have little time. There is no measured
   * run, and the default estimate is one and a half latency goals. If requests were refused because
   * expected wait and estimated run exceed their time, the route would never be served and its run
   * time never measured: 31 of 32 requests were refused this way.
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

  /** A request that cannot start before its deadline is refused at once. */
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
    assertTrue(refuse.retryAfterMillis() > 1_000, "retry after " + refuse.retryAfterMillis());
  }

  /**
   * Targets of one region were overloaded by 22 entry VMs while another region had free slots: each
   * VM received a target's load report every few seconds and assumed that it was idle in between.
   * The mean of the reports must count.
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

  /** An unreachable target is avoided while there are others. */
  @Test
  void avoidsUnreachableTarget() {
    Send first = fixture.send(7);
    first.target().avoidUntil(fixture.now + 1_000);
    assertNotEquals(first.target().facts().id(), fixture.send(7).target().facts().id());
    fixture.now += 1_000;
    assertEquals(first.target().facts().id(), fixture.send(7).target().facts().id());
  }

  /** A request is not sent to the same target twice. */
  @Test
  void neverChoosesTriedTarget() {
    Set<String> tried = new HashSet<>(Set.of("n-1", "n-2", "s-1", "s-2"));
    Refuse refuse = (Refuse) fixture.place(1, tried, Set.of());
    assertEquals(Reason.ALL_TRIED, refuse.reason());
  }
}
