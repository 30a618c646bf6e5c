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

  // A new VM joins and rendezvous hashing gives it a target whose old holder still has two requests
  // running there. With all three slots at once, the target would run five.
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

  // A member falls silent. It may be dead, or only cut off and still sending to its targets with
  // the half that its guard leaves it.
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

  // The list lags and does not show a VM that has just started. It is heard, so it stays.
  @Test
  void liveMemberMissingFromPlatformListStays() {
    ZoneFake zone = new ZoneFake(2);
    zone.members.get("vm-0").isUnlisted = true;
    zone.run(SETTLE);
    assertEquals(2, zone.view().members().size());
  }

  // The platform's list still shows a target as leaving after it was started anew; and, the other
  // way round, no longer shows as leaving one that still is.
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
    assertTrue(zone.view().members().get(0).isDraining(), "leaving is not undone");
  }

  // The relay itself is paused for a minute and hears nothing meanwhile. On waking, all members
  // seem silent to it; taking their targets over would halve the whole zone's slots.
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

  // A VM restarts faster than its silence is noticed. Messages of its earlier incarnation that are
  // still on their way must not bring that one back.
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

  // A cut-off member comes back. Its targets return a few at a time, not all in one view.
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

  // A zone without entry VMs is back. If its targets were given back while requests of the members
  // here are still under way there, the two zones together would use more than all slots.
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
