package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.membership.ZoneViewBuilder;
import org.sageladder.core.spread.RelayElection;
import org.sageladder.entry.control.MachineFakes.NodeFake;
import org.sageladder.protocol.ZoneReport;

class ControlMachineTest {
  private static final Duration SETTLE = Duration.ofSeconds(6);

  private final MachineFakes fakes = new MachineFakes();

  @Test
  void zoneGetsOneRelayOneViewAndTheContract() {
    long revision = fakes.accept(20);
    twoZones();
    assertEquals(1, relays("tartu-1").size());
    assertEquals(1, relays("tartu-2").size());
    for (NodeFake node : fakes.nodes.values()) {
      assertEquals(revision, node.revision());
      assertEquals(3, view(node, "tartu-1").members().size());
      assertEquals(3, view(node, "tartu-2").members().size());
    }
    long next = fakes.accept(21);
    fakes.run(Duration.ofMillis(200));
    fakes.nodes.values().forEach(node -> assertEquals(next, node.revision(), node.vm));
  }

  // The store is down and a VM starts. Its peers are at different revisions, because one of them
  // missed the last change. Taking the first answer, it could serve limits that are replaced.
  @Test
  void freshVmDuringAStoreOutageTakesTheHighestRevisionOfItsPeers() {
    fakes.accept(20);
    twoZones();
    NodeFake behind = fakes.nodes.get("vm-1");
    behind.paused = true;
    long newest = fakes.accept(21);
    fakes.run(Duration.ofMillis(100));
    fakes.storeDown = true;
    behind.paused = false;
    NodeFake fresh = fakes.add("vm-9", "tartu-1");
    fakes.run(Duration.ofSeconds(3));
    assertTrue(fresh.machine.ready());
    assertEquals(newest, fresh.revision());
  }

  // A VM starts in a zone that is cut off, with neither peers nor store. Serving whatever it thinks
  // up would admit work without limits.
  @Test
  void freshVmThatReachesNeitherStoreNorPeersIsNotReady() {
    fakes.storeDown = true;
    NodeFake alone = fakes.add("vm-1", "tartu-1");
    fakes.run(Duration.ofMinutes(5));
    assertFalse(alone.machine.ready());
    assertFalse(alone.relaying());
    assertTrue(alone.machine.explanation().contains("neither the store nor a ready peer"));
  }

  // The whole zone starts during an outage. The VMs can only ask each other, and none knows.
  @Test
  void freshVmsDoNotTakeEachOthersIgnoranceForAnAnswer() {
    fakes.storeDown = true;
    fakes.add("vm-1", "tartu-1");
    fakes.add("vm-2", "tartu-1");
    fakes.run(Duration.ofMinutes(1));
    fakes.nodes.values().forEach(node -> assertFalse(node.machine.ready()));
    long revision = fakes.accept(20);
    fakes.storeDown = false;
    fakes.run(SETTLE);
    fakes.nodes.values().forEach(node -> assertEquals(revision, node.revision()));
  }

  // The relay dies right after the store accepted a change. Nobody else in the zone watches.
  @Test
  void changeIsInForceWithinSixSecondsOfTheRelaysDeath() {
    fakes.accept(20);
    twoZones();
    NodeFake relay = relays("tartu-1").get(0);
    long before = view(relay, "tartu-1").number();
    relay.dead = true;
    long revision = fakes.accept(21);
    fakes.run(Duration.ofSeconds(6));
    for (NodeFake node : fakes.nodes.values()) {
      if (!node.dead) {
        assertEquals(revision, node.revision(), node.vm);
        assertTrue(view(node, "tartu-1").number() > before);
      }
    }
    assertEquals(1, relays("tartu-1").size());
  }

  // The store goes down and then the relay dies. Without a stand-in the dead VM's targets would
  // stand idle until the store is back.
  @Test
  void relayThatDiesDuringAnOutageIsStoodInForUntilTheStoreIsBack() {
    fakes.accept(20);
    twoZones();
    fakes.storeDown = true;
    fakes.run(Duration.ofSeconds(5));
    NodeFake dead = relays("tartu-1").get(0);
    dead.dead = true;
    fakes.run(Duration.ofSeconds(15));
    List<NodeFake> acting = relays("tartu-1");
    assertEquals(1, acting.size());
    assertEquals(RelayElection.State.ACTING, acting.get(0).machine.duty().state());
    for (Holding holding : view(acting.get(0), "tartu-1").holdings()) {
      assertFalse(holding.holder().equals(dead.vm), "the dead VM holds " + holding.target());
    }
    long fencing = ZoneViewBuilder.fencingTokenOf(view(acting.get(0), "tartu-1").number());
    fakes.storeDown = false;
    fakes.run(Duration.ofSeconds(10));
    assertEquals(1, relays("tartu-1").size());
    NodeFake next = relays("tartu-1").get(0);
    assertEquals(RelayElection.State.HOLDING, next.machine.duty().state());
    assertTrue(ZoneViewBuilder.fencingTokenOf(view(next, "tartu-1").number()) > fencing);
  }

  // The store is down for ten minutes. Lapsed leases must not cost any gate its slots.
  @Test
  void longOutageLeavesAllSlotsUsable() {
    fakes.accept(20);
    twoZones();
    fakes.storeDown = true;
    fakes.run(Duration.ofMinutes(10));
    for (NodeFake node : fakes.nodes.values()) {
      for (Holding holding : view(node, node.zone).holdings()) {
        if (holding.holder().equals(node.vm)) {
          assertEquals(3, node.machine.guard().usableSlots(holding), node.vm);
        }
      }
    }
    assertEquals(1, relays("tartu-1").size());
  }

  // The relay is paused for ten seconds and another VM becomes relay. On waking the old one still
  // thinks that it is relay and holds its targets.
  @Test
  void relayThatWakesFromALongPauseNeitherDispatchesNorRulesTheZone() {
    fakes.accept(20);
    twoZones();
    NodeFake old = relays("tartu-1").get(0);
    fakes.run(Duration.ofSeconds(2));
    old.paused = true;
    fakes.run(Duration.ofSeconds(10));
    ZoneView ruling =
        view(
            relays("tartu-1").stream().filter(node -> node != old).findFirst().orElseThrow(),
            "tartu-1");
    old.paused = false;
    for (Holding holding : view(old, "tartu-1").holdings()) {
      assertEquals(0, old.machine.guard().usableSlots(holding), "before its control thread ran");
    }
    fakes.run(Duration.ofSeconds(2));
    assertFalse(old.relaying());
    assertTrue(view(old, "tartu-1").number() >= ruling.number());
  }

  // A zone is cut off from the others and from the store, and healed after a minute.
  @Test
  void cutOffZoneServesOnAndCatchesUpWhenHealed() {
    fakes.accept(20);
    twoZones();
    fakes.cutZones.add("tartu-2");
    long revision = fakes.accept(21);
    fakes.run(Duration.ofMinutes(1));
    NodeFake inside = inZone("tartu-2").get(0);
    assertTrue(inside.revision() < revision);
    assertEquals(1, relays("tartu-2").size());
    for (Holding holding : view(inside, "tartu-2").holdings()) {
      assertEquals(3, holding.slots());
    }
    fakes.cutZones.clear();
    fakes.run(Duration.ofSeconds(5));
    fakes.nodes.values().forEach(node -> assertEquals(revision, node.revision(), node.vm));
  }

  // A whole zone is lost. Its last view stays as it was, since nobody is left to change it, and
  // callers would be sent to dead VMs for ever.
  @Test
  void lostZoneIsNoLongerOfferedAndIsBackOnceItIsHeard() {
    fakes.accept(20);
    twoZones();
    NodeFake here = inZone("tartu-1").get(0);
    assertEquals(3, here.machine.known().snapshot().views().get("tartu-2").members().size());
    inZone("tartu-2").forEach(node -> node.paused = true);
    fakes.run(Duration.ofSeconds(7));
    assertEquals(0, here.machine.known().snapshot().views().get("tartu-2").members().size());
    assertEquals(3, here.machine.known().snapshot().views().get("tartu-1").members().size());
    inZone("tartu-2").forEach(node -> node.paused = false);
    fakes.run(SETTLE);
    assertEquals(3, here.machine.known().snapshot().views().get("tartu-2").members().size());
  }

  @Test
  void plannedStopOfTheRelayHandsTheDutyAndTheTargetsOver() {
    fakes.accept(20);
    twoZones();
    NodeFake leaving = relays("tartu-1").get(0);
    leaving.machine.leave();
    fakes.run(Duration.ofSeconds(5));
    assertEquals(1, relays("tartu-1").size());
    assertFalse(leaving.relaying());
    for (Holding holding : view(leaving, "tartu-1").holdings()) {
      assertFalse(holding.holder().equals(leaving.vm));
    }
  }

  @Test
  void announcementReachesEveryVmAndLaterOnesToo() {
    fakes.accept(20);
    twoZones();
    fakes
        .nodes
        .get("vm-2")
        .machine
        .announce("quarantine", "ab12", new byte[4], Duration.ofMinutes(10));
    fakes.run(Duration.ofSeconds(2));
    NodeFake fresh = fakes.add("vm-9", "tartu-2");
    fakes.run(SETTLE);
    for (NodeFake node : fakes.nodes.values()) {
      assertEquals(List.of(":quarantine:4"), node.payloads, node.vm);
    }
    assertTrue(fresh.machine.ready());
  }

  @Test
  void zoneReportNamesTheLowestRevisionInForceAndWhoLags() {
    fakes.accept(20);
    twoZones();
    NodeFake slow = inZone("tartu-1").stream().filter(n -> !n.relaying()).findFirst().orElseThrow();
    long old = slow.revision();
    slow.paused = true;
    long revision = fakes.accept(21);
    fakes.run(Duration.ofMillis(2_500));
    ZoneReport report = fakes.nodes.get("vm-4").machine.known().reports().get("tartu-1");
    assertEquals(old, report.lowestRevision());
    assertEquals(List.of(slow.vm), report.lagging());
    slow.paused = false;
    fakes.run(SETTLE);
    report = fakes.nodes.get("vm-4").machine.known().reports().get("tartu-1");
    assertEquals(revision, report.lowestRevision());
  }

  // A zone is lost whole. Reports of the others that would have passed it must go round it, or the
  // zones behind it would take living zones for silent and stop offering them to callers.
  @Test
  void reportsGoRoundALostZone() {
    fakes.accept(20);
    for (int zone = 10; zone < 26; zone++) {
      fakes.add("vm-" + zone + "-a", "zone-" + zone);
      fakes.add("vm-" + zone + "-b", "zone-" + zone);
    }
    fakes.run(SETTLE);
    inZone("zone-14").forEach(node -> node.dead = true);
    fakes.run(Duration.ofSeconds(20));
    for (NodeFake node : fakes.nodes.values()) {
      if (node.dead) {
        continue;
      }
      for (int zone = 10; zone < 26; zone++) {
        String name = "zone-" + zone;
        int members = node.machine.known().snapshot().views().get(name).members().size();
        assertEquals(zone == 14 ? 0 : 2, members, name + " at " + node.vm);
      }
    }
  }

  // One of the two members that pass reports on is paused. Its zone must still be heard, or it
  // would count as lost although its other entry VMs serve.
  @Test
  void pausedSpeakerDoesNotSilenceItsZone() {
    fakes.accept(20);
    twoZones();
    NodeFake here = inZone("tartu-2").get(0);
    RelayedView seen = here.machine.known().view("tartu-1").orElseThrow();
    fakes.nodes.get(PeerDirectory.speaker(seen, 1)).paused = true;
    long before = here.machine.known().reports().get("tartu-1").takenAtMillis();
    fakes.run(Duration.ofMillis(2_500));
    assertTrue(here.machine.known().reports().get("tartu-1").takenAtMillis() > before);
  }

  private void twoZones() {
    for (int i = 1; i <= 6; i++) {
      fakes.add("vm-" + i, i <= 3 ? "tartu-1" : "tartu-2");
    }
    fakes.run(SETTLE);
    fakes.nodes.values().forEach(node -> assertTrue(node.machine.ready(), node.vm));
  }

  private List<NodeFake> inZone(String zone) {
    return fakes.nodes.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }

  private List<NodeFake> relays(String zone) {
    return inZone(zone).stream().filter(node -> !node.dead && node.relaying()).toList();
  }

  private static ZoneView view(NodeFake node, String zone) {
    return node.machine.known().view(zone).orElseThrow().view();
  }
}
