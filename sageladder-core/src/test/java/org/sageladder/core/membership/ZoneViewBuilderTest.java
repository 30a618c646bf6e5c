package org.sageladder.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ZoneViewBuilderTest {
  private static final Duration SETTLE = Duration.ofSeconds(15);

  @Test
  void everyTargetHasOneHolderWithAllItsSlots() {
    ZoneFake zone = new ZoneFake(3);
    zone.run(SETTLE);
    for (Holding holding : zone.view().holdings()) {
      assertEquals(ZoneFake.SLOTS, holding.slots(), holding.target());
      assertTrue(zone.members.containsKey(holding.holder()));
    }
    assertEquals(ZoneFake.TARGETS, zone.view().holdings().size());
  }

  // Guards against overloading a moved target: a new VM joins and is assigned a target on which the
  // old holder still has two requests running. With all three slots at once, the target would run
  // five.
  @Test
  void movedTargetExcludesSlotsInUseByOldHolder() {
    ZoneFake zone = new ZoneFake(1);
    zone.run(SETTLE);
    ZoneFake.MemberFake old = zone.members.get("vm-0");
    for (int t = 0; t < ZoneFake.TARGETS; t++) {
      old.inFlight.put("t-" + t, 2);
    }
    zone.add("vm-1");
    zone.run(SETTLE);
    Set<String> moved =
        zone.view().holdings().stream()
            .filter(holding -> holding.holder().equals("vm-1"))
            .map(Holding::target)
            .collect(Collectors.toSet());
    assertFalse(moved.isEmpty());
    for (String target : moved) {
      assertEquals(1, zone.holding(target).slots());
    }
    old.inFlight.clear();
    zone.run(Duration.ofSeconds(2));
    for (String target : moved) {
      assertEquals(ZoneFake.SLOTS, zone.holding(target).slots());
    }
  }

  // A silent member may be dead, or only cut off and still sending to its targets with the half of
  // the slots that its guard allows.
  @Test
  void silentMembersTargetsMoveWithHalfTheSlots() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    String target = targetHeldBy(zone, "vm-0");
    zone.members.get("vm-0").isCutOff = true;
    zone.members.get("vm-1").loadMatchesInFlight = false;
    zone.run(Duration.ofSeconds(30));
    assertEquals("vm-1", zone.holding(target).holder());
    assertEquals(1, zone.holding(target).slots());
    assertEquals(2, zone.members.get("vm-0").usableSlots(target));
  }

  @Test
  void newHolderGetsAllSlotsOnceTargetLoadShowsNoOtherSender() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    String target = targetHeldBy(zone, "vm-0");
    zone.members.get("vm-0").isDead = true;
    zone.run(Duration.ofSeconds(5));
    assertEquals(1, zone.holding(target).slots());
    zone.run(Duration.ofSeconds(12));
    assertEquals(ZoneFake.SLOTS, zone.holding(target).slots());
  }

  @Test
  void newHolderGetsAllSlotsOnceSilentMemberIsNoLongerListed() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    String target = targetHeldBy(zone, "vm-0");
    zone.members.get("vm-1").loadMatchesInFlight = false;
    zone.members.get("vm-0").isDead = true;
    zone.members.get("vm-0").isUnlisted = true;
    zone.run(Duration.ofSeconds(8));
    assertEquals(ZoneFake.SLOTS, zone.holding(target).slots());
  }

  // The platform's list lags and does not show a VM that has just started. Its heartbeats arrive,
  // so it stays a member.
  @Test
  void liveMemberMissingFromPlatformListStays() {
    ZoneFake zone = new ZoneFake(2);
    zone.members.get("vm-0").isUnlisted = true;
    zone.run(SETTLE);
    assertEquals(2, zone.view().members().size());
  }

  // The platform's list may still show a target as draining after a restart, or no longer show a
  // target as draining that still is.
  @Test
  void targetStaysDrainingUntilNextIncarnation() {
    ZoneFake zone = new ZoneFake(2);
    zone.drainingTargets.add("t-1");
    zone.run(Duration.ofSeconds(3));
    assertTrue(zone.holding("t-1").isDraining());
    zone.drainingTargets.remove("t-1");
    zone.run(Duration.ofSeconds(3));
    assertTrue(zone.holding("t-1").isDraining(), "same incarnation");
    zone.startRelay(2);
    zone.run(Duration.ofSeconds(3));
    assertTrue(zone.holding("t-1").isDraining(), "also under the next relay");
    zone.targetIncarnations.put("t-1", 2L);
    zone.run(Duration.ofSeconds(3));
    assertFalse(zone.holding("t-1").isDraining(), "next incarnation");
  }

  @Test
  void drainingMemberReleasesItsTargets() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    zone.members.get("vm-0").isDraining = true;
    zone.run(Duration.ofSeconds(3));
    for (Holding holding : zone.view().holdings()) {
      assertEquals("vm-1", holding.holder());
      assertEquals(ZoneFake.SLOTS, holding.slots());
    }
    zone.members.get("vm-0").isDraining = false;
    zone.run(Duration.ofSeconds(3));
    assertTrue(zone.view().members().get(0).isDraining(), "draining is never reset");
  }

  // Guards against a relay that considers all members silent after it was paused itself for a
  // minute; taking over their targets would halve the slots of the whole zone.
  @Test
  void pausedRelayDoesNotConsiderMembersSilent() {
    ZoneFake zone = new ZoneFake(3);
    zone.run(SETTLE);
    ZoneView before = zone.view();
    zone.time.advance(Duration.ofMinutes(1));
    zone.run(Duration.ofSeconds(3));
    assertEquals(before.members(), zone.view().members());
    assertEquals(before.holdings(), zone.view().holdings());
  }

  @Test
  void nextRelaysViewsHaveHigherNumbersAndSameHolders() {
    ZoneFake zone = new ZoneFake(3);
    zone.run(SETTLE);
    ZoneView before = zone.view();
    zone.startRelay(2);
    zone.run(Duration.ofSeconds(6));
    assertTrue(zone.view().number() > before.number());
    assertEquals(2, ZoneViewBuilder.fencingTokenOf(zone.view().number()));
    assertEquals(before.holdings(), zone.view().holdings());
  }

  // Guards against messages of an earlier incarnation: a VM restarts before its silence is noticed,
  // and delayed messages must not replace the new incarnation by the old one.
  @Test
  void heartbeatOfEarlierIncarnationIsNotConfirmed() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    Member old = zone.view().members().get(0);
    zone.members.get(old.vm()).restart();
    zone.run(Duration.ofSeconds(2));
    HeartbeatAnswer answer =
        zone.builder()
            .onHeartbeat(
                new Heartbeat(
                    old,
                    zone.time.nanos(),
                    zone.view().number(),
                    5,
                    java.util.List.of(),
                    java.util.List.of()));
    assertFalse(answer.isConfirmed());
    assertEquals(old.incarnation() + 1, answer.knownIncarnation());
    assertNotEquals(old, zone.view().members().get(0));
  }

  // When a cut-off member reconnects, its targets return to it a few at a time, not all in one
  // view.
  @Test
  void reconnectedMemberRegainsItsTargets() {
    ZoneFake zone = new ZoneFake(2);
    zone.run(SETTLE);
    long mine = countHeldBy(zone, "vm-0");
    zone.members.get("vm-0").isCutOff = true;
    zone.run(Duration.ofSeconds(30));
    assertEquals(0, countHeldBy(zone, "vm-0"));
    zone.members.get("vm-0").isCutOff = false;
    zone.run(SETTLE);
    assertEquals(mine, countHeldBy(zone, "vm-0"));
    for (Holding holding : zone.view().holdings()) {
      assertEquals(ZoneFake.SLOTS, holding.slots());
    }
  }

  private static String targetHeldBy(ZoneFake zone, String vm) {
    return zone.view().holdings().stream()
        .filter(holding -> holding.holder().equals(vm))
        .findFirst()
        .orElseThrow()
        .target();
  }

  private static long countHeldBy(ZoneFake zone, String vm) {
    return zone.view().holdings().stream().filter(h -> h.holder().equals(vm)).count();
  }

  // Guards against overloading targets that are given back to their own zone: while requests of
  // this zone's members are still in flight to them, the two zones together would use more than all
  // slots.
  @Test
  void takenOverTargetsAreGivenBackOnlyWithoutRequestsInFlight() {
    ZoneFake zone = new ZoneFake(3);
    zone.run(Duration.ofSeconds(2));
    Holding theirs = new Holding("t-b", "k", "search", "127.0.0.1", 1, 1, "vm-b", 3, false);
    zone.targetsOfOtherZones.put("t-b", "tartu-b");
    zone.builder().takeOver("tartu-b", List.of(theirs));
    zone.run(Duration.ofSeconds(1));
    Holding taken = zone.holding("t-b");
    assertEquals(1, taken.slots());
    ZoneFake.MemberFake holder = zone.members.get(taken.holder());
    holder.inFlight.put("t-b", 1);
    zone.builder().giveBack("tartu-b");
    zone.run(Duration.ofSeconds(5));
    assertEquals("", zone.holding("t-b").holder());
    assertTrue(zone.builder().holdsTargetsOf("tartu-b"));
    holder.inFlight.remove("t-b");
    zone.run(Duration.ofSeconds(1));
    assertFalse(zone.builder().holdsTargetsOf("tartu-b"));
  }
}
