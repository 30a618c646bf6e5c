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
import org.sageladder.entry.control.ControlStateMachineFixture.FakeNode;
import org.sageladder.protocol.ZoneReport;

class ControlStateMachineTest {
  private static final Duration SETTLING_TIME = Duration.ofSeconds(6);

  private final ControlStateMachineFixture fixture = new ControlStateMachineFixture();

  @Test
  void zoneGetsOneRelayOneViewAndTheContract() {
    long revision = fixture.storeContract(20);
    startTwoZones();
    assertEquals(1, relays("tartu-1").size());
    assertEquals(1, relays("tartu-2").size());
    for (FakeNode node : fixture.nodes.values()) {
      assertEquals(revision, node.revision());
      assertEquals(3, view(node, "tartu-1").members().size());
      assertEquals(3, view(node, "tartu-2").members().size());
    }
    long next = fixture.storeContract(21);
    fixture.advance(Duration.ofMillis(200));
    fixture.nodes.values().forEach(node -> assertEquals(next, node.revision(), node.vm));
  }

  // The store is down and a VM starts. Its peers are at different revisions, because one of them
  // missed the last change. Taking the first answer, it could serve limits that are replaced.
  @Test
  void vmStartedDuringStoreOutageUsesHighestRevisionOfItsPeers() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode behind = fixture.nodes.get("vm-1");
    behind.isPaused = true;
    long newest = fixture.storeContract(21);
    fixture.advance(Duration.ofMillis(100));
    fixture.isStoreDown = true;
    behind.isPaused = false;
    FakeNode fresh = fixture.addNode("vm-9", "tartu-1");
    fixture.advance(Duration.ofSeconds(3));
    assertTrue(fresh.machine.isReady());
    assertEquals(newest, fresh.revision());
  }

  // A VM starts in a zone that is cut off, with neither peers nor store. Serving whatever it thinks
  // up would admit work without limits.
  @Test
  void vmWithoutStoreAndPeersIsNotReady() {
    fixture.isStoreDown = true;
    FakeNode alone = fixture.addNode("vm-1", "tartu-1");
    fixture.advance(Duration.ofMinutes(5));
    assertFalse(alone.machine.isReady());
    assertFalse(alone.isRelay());
    assertTrue(alone.machine.readinessExplanation().contains("neither the store nor a ready peer"));
  }

  // The whole zone starts during an outage. The VMs can only ask each other, and none knows.
  @Test
  void answersOfUnreadyPeersDoNotMakeVmReady() {
    fixture.isStoreDown = true;
    fixture.addNode("vm-1", "tartu-1");
    fixture.addNode("vm-2", "tartu-1");
    fixture.advance(Duration.ofMinutes(1));
    fixture.nodes.values().forEach(node -> assertFalse(node.machine.isReady()));
    long revision = fixture.storeContract(20);
    fixture.isStoreDown = false;
    fixture.advance(SETTLING_TIME);
    fixture.nodes.values().forEach(node -> assertEquals(revision, node.revision()));
  }

  // The relay dies right after the store accepted a change. Nobody else in the zone watches.
  @Test
  void changeIsInForceWithinSixSecondsOfRelayFailure() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode relay = relays("tartu-1").get(0);
    long before = view(relay, "tartu-1").number();
    relay.isDead = true;
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofSeconds(6));
    for (FakeNode node : fixture.nodes.values()) {
      if (!node.isDead) {
        assertEquals(revision, node.revision(), node.vm);
        assertTrue(view(node, "tartu-1").number() > before);
      }
    }
    assertEquals(1, relays("tartu-1").size());
  }

  // The store goes down and then the relay dies. Without a stand-in the dead VM's targets would
  // stand idle until the store is back.
  @Test
  void memberActsAsRelayWhenRelayFailsDuringStoreOutage() {
    fixture.storeContract(20);
    startTwoZones();
    fixture.isStoreDown = true;
    fixture.advance(Duration.ofSeconds(5));
    FakeNode dead = relays("tartu-1").get(0);
    dead.isDead = true;
    fixture.advance(Duration.ofSeconds(15));
    List<FakeNode> acting = relays("tartu-1");
    assertEquals(1, acting.size());
    assertEquals(RelayElection.State.ACTING, acting.get(0).machine.election().state());
    for (Holding holding : view(acting.get(0), "tartu-1").holdings()) {
      assertFalse(holding.holder().equals(dead.vm), "the dead VM holds " + holding.target());
    }
    long fencing = ZoneViewBuilder.fencingTokenOf(view(acting.get(0), "tartu-1").number());
    fixture.isStoreDown = false;
    fixture.advance(Duration.ofSeconds(10));
    assertEquals(1, relays("tartu-1").size());
    FakeNode next = relays("tartu-1").get(0);
    assertEquals(RelayElection.State.HOLDING, next.machine.election().state());
    assertTrue(ZoneViewBuilder.fencingTokenOf(view(next, "tartu-1").number()) > fencing);
  }

  // The store is down for ten minutes. Lapsed leases must not cost any gate its slots.
  @Test
  void longStoreOutageLeavesAllSlotsUsable() {
    fixture.storeContract(20);
    startTwoZones();
    fixture.isStoreDown = true;
    fixture.advance(Duration.ofMinutes(10));
    for (FakeNode node : fixture.nodes.values()) {
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
  void relayResumedAfterLongPauseNeitherDispatchesNorActsAsRelay() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode old = relays("tartu-1").get(0);
    fixture.advance(Duration.ofSeconds(2));
    old.isPaused = true;
    fixture.advance(Duration.ofSeconds(10));
    ZoneView ruling =
        view(
            relays("tartu-1").stream().filter(node -> node != old).findFirst().orElseThrow(),
            "tartu-1");
    old.isPaused = false;
    for (Holding holding : view(old, "tartu-1").holdings()) {
      assertEquals(0, old.machine.guard().usableSlots(holding), "before its control thread ran");
    }
    fixture.advance(Duration.ofSeconds(2));
    assertFalse(old.isRelay());
    assertTrue(view(old, "tartu-1").number() >= ruling.number());
  }

  // A zone is cut off from the others and from the store, and healed after a minute.
  @Test
  void partitionedZoneKeepsServingAndCatchesUpAfterwards() {
    fixture.storeContract(20);
    startTwoZones();
    fixture.partitionedZones.add("tartu-2");
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofMinutes(1));
    FakeNode inside = inZone("tartu-2").get(0);
    assertTrue(inside.revision() < revision);
    assertEquals(1, relays("tartu-2").size());
    for (Holding holding : view(inside, "tartu-2").holdings()) {
      assertEquals(3, holding.slots());
    }
    fixture.partitionedZones.clear();
    fixture.advance(Duration.ofSeconds(5));
    fixture.nodes.values().forEach(node -> assertEquals(revision, node.revision(), node.vm));
  }

  // A whole zone is lost. Its last view stays as it was, since nobody is left to change it, and
  // callers would be sent to dead VMs for ever.
  @Test
  void silentZoneIsNotOfferedUntilItReportsAgain() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode here = inZone("tartu-1").get(0);
    assertEquals(
        3, here.machine.replicatedState().takeSnapshot().views().get("tartu-2").members().size());
    inZone("tartu-2").forEach(node -> node.isPaused = true);
    fixture.advance(Duration.ofSeconds(7));
    assertEquals(
        0, here.machine.replicatedState().takeSnapshot().views().get("tartu-2").members().size());
    assertEquals(
        3, here.machine.replicatedState().takeSnapshot().views().get("tartu-1").members().size());
    inZone("tartu-2").forEach(node -> node.isPaused = false);
    fixture.advance(SETTLING_TIME);
    assertEquals(
        3, here.machine.replicatedState().takeSnapshot().views().get("tartu-2").members().size());
  }

  @Test
  void plannedStopOfRelayHandsOverRelayRoleAndTargets() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode leaving = relays("tartu-1").get(0);
    leaving.machine.beginLeaving();
    fixture.advance(Duration.ofSeconds(5));
    assertEquals(1, relays("tartu-1").size());
    assertFalse(leaving.isRelay());
    for (Holding holding : view(leaving, "tartu-1").holdings()) {
      assertFalse(holding.holder().equals(leaving.vm));
    }
  }

  @Test
  void broadcastReachesEveryVmIncludingVmsStartedLater() {
    fixture.storeContract(20);
    startTwoZones();
    fixture
        .nodes
        .get("vm-2")
        .machine
        .broadcast("quarantine", "ab12", new byte[4], Duration.ofMinutes(10));
    fixture.advance(Duration.ofSeconds(2));
    FakeNode fresh = fixture.addNode("vm-9", "tartu-2");
    fixture.advance(SETTLING_TIME);
    for (FakeNode node : fixture.nodes.values()) {
      assertEquals(List.of(":quarantine:4"), node.payloads, node.vm);
    }
    assertTrue(fresh.machine.isReady());
  }

  @Test
  void zoneReportNamesLowestRevisionInForceAndLaggingVms() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode slow = inZone("tartu-1").stream().filter(n -> !n.isRelay()).findFirst().orElseThrow();
    long old = slow.revision();
    slow.isPaused = true;
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofMillis(2_500));
    ZoneReport report =
        fixture.nodes.get("vm-4").machine.replicatedState().reports().get("tartu-1");
    assertEquals(old, report.lowestRevision());
    assertEquals(List.of(slow.vm), report.lagging());
    slow.isPaused = false;
    fixture.advance(SETTLING_TIME);
    report = fixture.nodes.get("vm-4").machine.replicatedState().reports().get("tartu-1");
    assertEquals(revision, report.lowestRevision());
  }

  // A zone is lost whole. Reports of the others that would have passed it must go round it, or the
  // zones behind it would take living zones for silent and stop offering them to callers.
  @Test
  void reportsBypassASilentZone() {
    fixture.storeContract(20);
    for (int zone = 10; zone < 26; zone++) {
      fixture.addNode("vm-" + zone + "-a", "zone-" + zone);
      fixture.addNode("vm-" + zone + "-b", "zone-" + zone);
    }
    fixture.advance(SETTLING_TIME);
    inZone("zone-14").forEach(node -> node.isDead = true);
    fixture.advance(Duration.ofSeconds(20));
    for (FakeNode node : fixture.nodes.values()) {
      if (node.isDead) {
        continue;
      }
      for (int zone = 10; zone < 26; zone++) {
        String name = "zone-" + zone;
        int members =
            node.machine.replicatedState().takeSnapshot().views().get(name).members().size();
        assertEquals(zone == 14 ? 0 : 2, members, name + " at " + node.vm);
      }
    }
  }

  // One of the two members that pass reports on is paused. Its zone must still be heard, or it
  // would count as lost although its other entry VMs serve.
  @Test
  void pausedSpeakerDoesNotMakeItsZoneSilent() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode here = inZone("tartu-2").get(0);
    RelayedView seen = here.machine.replicatedState().view("tartu-1").orElseThrow();
    fixture.nodes.get(PeerDirectory.speaker(seen, 1)).isPaused = true;
    long before = here.machine.replicatedState().reports().get("tartu-1").takenAtMillis();
    fixture.advance(Duration.ofMillis(2_500));
    assertTrue(here.machine.replicatedState().reports().get("tartu-1").takenAtMillis() > before);
  }

  private void startTwoZones() {
    for (int i = 1; i <= 6; i++) {
      fixture.addNode("vm-" + i, i <= 3 ? "tartu-1" : "tartu-2");
    }
    fixture.advance(SETTLING_TIME);
    fixture.nodes.values().forEach(node -> assertTrue(node.machine.isReady(), node.vm));
  }

  private List<FakeNode> inZone(String zone) {
    return fixture.nodes.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }

  private List<FakeNode> relays(String zone) {
    return inZone(zone).stream().filter(node -> !node.isDead && node.isRelay()).toList();
  }

  private static ZoneView view(FakeNode node, String zone) {
    return node.machine.replicatedState().view(zone).orElseThrow().view();
  }
}
