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

  // A VM starts while the store is down. Its peers have different revisions, as one of them missed
  // the last change. If the VM used the first answer, it could apply limits that are out of date.
  @Test
  void vmStartedDuringStoreOutageUsesHighestRevisionOfItsPeers() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode laggingNode = fixture.nodes.get("vm-1");
    laggingNode.isPaused = true;
    long newest = fixture.storeContract(21);
    fixture.advance(Duration.ofMillis(100));
    fixture.isStoreDown = true;
    laggingNode.isPaused = false;
    FakeNode newNode = fixture.addNode("vm-9", "tartu-1");
    fixture.advance(Duration.ofSeconds(3));
    assertTrue(newNode.machine.isReady());
    assertEquals(newest, newNode.revision());
  }

  // A VM starts in a partitioned zone and reaches neither peers nor the store. If it became ready
  // without a contract, it would admit requests without limits.
  @Test
  void vmWithoutStoreAndPeersIsNotReady() {
    fixture.isStoreDown = true;
    FakeNode node = fixture.addNode("vm-1", "tartu-1");
    fixture.advance(Duration.ofMinutes(5));
    assertFalse(node.machine.isReady());
    assertFalse(node.isRelay());
    assertTrue(node.machine.readinessExplanation().contains("neither the store nor a ready peer"));
  }

  // All VMs of a zone start during a store outage. They can only query each other, and none has a
  // contract.
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

  // The relay fails right after the store accepted a change, and no other VM of the zone watches
  // the store.
  @Test
  void changeIsInForceWithinSixSecondsOfRelayFailure() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode relay = relays("tartu-1").get(0);
    long previousViewNumber = view(relay, "tartu-1").number();
    relay.hasFailed = true;
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofSeconds(6));
    for (FakeNode node : fixture.nodes.values()) {
      if (!node.hasFailed) {
        assertEquals(revision, node.revision(), node.vm);
        assertTrue(view(node, "tartu-1").number() > previousViewNumber);
      }
    }
    assertEquals(1, relays("tartu-1").size());
  }

  // The store fails and then the relay. If no other member acted as relay, the targets of the
  // failed VM would stay unused until the store is available again.
  @Test
  void memberActsAsRelayWhenRelayFailsDuringStoreOutage() {
    fixture.storeContract(20);
    startTwoZones();
    fixture.isStoreDown = true;
    fixture.advance(Duration.ofSeconds(5));
    FakeNode failedRelay = relays("tartu-1").get(0);
    failedRelay.hasFailed = true;
    fixture.advance(Duration.ofSeconds(15));
    List<FakeNode> actingRelays = relays("tartu-1");
    assertEquals(1, actingRelays.size());
    assertEquals(RelayElection.State.ACTING, actingRelays.get(0).machine.election().state());
    for (Holding holding : view(actingRelays.get(0), "tartu-1").holdings()) {
      assertFalse(
          holding.holder().equals(failedRelay.vm), "the failed VM holds " + holding.target());
    }
    long fencingToken =
        ZoneViewBuilder.fencingTokenOf(view(actingRelays.get(0), "tartu-1").number());
    fixture.isStoreDown = false;
    fixture.advance(Duration.ofSeconds(10));
    assertEquals(1, relays("tartu-1").size());
    FakeNode nextRelay = relays("tartu-1").get(0);
    assertEquals(RelayElection.State.HOLDING, nextRelay.machine.election().state());
    assertTrue(ZoneViewBuilder.fencingTokenOf(view(nextRelay, "tartu-1").number()) > fencingToken);
  }

  // The store is down for ten minutes, so all leases expire. No gate may lose slots because of
  // this.
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

  // The relay is paused for ten seconds and another VM becomes relay. When the old one resumes, it
  // still has the state of a relay that holds targets.
  @Test
  void relayResumedAfterLongPauseNeitherDispatchesNorActsAsRelay() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode oldRelay = relays("tartu-1").get(0);
    fixture.advance(Duration.ofSeconds(2));
    oldRelay.isPaused = true;
    fixture.advance(Duration.ofSeconds(10));
    ZoneView newView =
        view(
            relays("tartu-1").stream().filter(node -> node != oldRelay).findFirst().orElseThrow(),
            "tartu-1");
    oldRelay.isPaused = false;
    for (Holding holding : view(oldRelay, "tartu-1").holdings()) {
      assertEquals(
          0, oldRelay.machine.guard().usableSlots(holding), "before its control thread ran");
    }
    fixture.advance(Duration.ofSeconds(2));
    assertFalse(oldRelay.isRelay());
    assertTrue(view(oldRelay, "tartu-1").number() >= newView.number());
  }

  // A zone is partitioned from the other zones and from the store for a minute.
  @Test
  void partitionedZoneKeepsServingAndCatchesUpAfterwards() {
    fixture.storeContract(20);
    startTwoZones();
    fixture.partitionedZones.add("tartu-2");
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofMinutes(1));
    FakeNode partitionedNode = nodesInZone("tartu-2").get(0);
    assertTrue(partitionedNode.revision() < revision);
    assertEquals(1, relays("tartu-2").size());
    for (Holding holding : view(partitionedNode, "tartu-2").holdings()) {
      assertEquals(3, holding.slots());
    }
    fixture.partitionedZones.clear();
    fixture.advance(Duration.ofSeconds(5));
    fixture.nodes.values().forEach(node -> assertEquals(revision, node.revision(), node.vm));
  }

  // All VMs of a zone fail. No VM is left to publish a new view of the zone, so callers would be
  // steered to failed VMs indefinitely.
  @Test
  void silentZoneIsNotOfferedUntilItReportsAgain() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode observer = nodesInZone("tartu-1").get(0);
    assertEquals(
        3,
        observer
            .machine
            .replicatedState()
            .buildClusterState()
            .views()
            .get("tartu-2")
            .members()
            .size());
    nodesInZone("tartu-2").forEach(node -> node.isPaused = true);
    fixture.advance(Duration.ofSeconds(7));
    assertEquals(
        0,
        observer
            .machine
            .replicatedState()
            .buildClusterState()
            .views()
            .get("tartu-2")
            .members()
            .size());
    assertEquals(
        3,
        observer
            .machine
            .replicatedState()
            .buildClusterState()
            .views()
            .get("tartu-1")
            .members()
            .size());
    nodesInZone("tartu-2").forEach(node -> node.isPaused = false);
    fixture.advance(SETTLING_TIME);
    assertEquals(
        3,
        observer
            .machine
            .replicatedState()
            .buildClusterState()
            .views()
            .get("tartu-2")
            .members()
            .size());
  }

  @Test
  void plannedStopOfRelayHandsOverRelayRoleAndTargets() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode leavingRelay = relays("tartu-1").get(0);
    leavingRelay.machine.beginLeaving();
    fixture.advance(Duration.ofSeconds(5));
    assertEquals(1, relays("tartu-1").size());
    assertFalse(leavingRelay.isRelay());
    for (Holding holding : view(leavingRelay, "tartu-1").holdings()) {
      assertFalse(holding.holder().equals(leavingRelay.vm));
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
    FakeNode newNode = fixture.addNode("vm-9", "tartu-2");
    fixture.advance(SETTLING_TIME);
    for (FakeNode node : fixture.nodes.values()) {
      assertEquals(List.of(":quarantine:4"), node.payloads, node.vm);
    }
    assertTrue(newNode.machine.isReady());
  }

  @Test
  void zoneReportNamesLowestRevisionInForceAndLaggingVms() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode laggingNode =
        nodesInZone("tartu-1").stream().filter(n -> !n.isRelay()).findFirst().orElseThrow();
    long oldRevision = laggingNode.revision();
    laggingNode.isPaused = true;
    long revision = fixture.storeContract(21);
    fixture.advance(Duration.ofMillis(2_500));
    ZoneReport report =
        fixture.nodes.get("vm-4").machine.replicatedState().reports().get("tartu-1");
    assertEquals(oldRevision, report.lowestRevision());
    assertEquals(List.of(laggingNode.vm), report.laggingVms());
    laggingNode.isPaused = false;
    fixture.advance(SETTLING_TIME);
    report = fixture.nodes.get("vm-4").machine.replicatedState().reports().get("tartu-1");
    assertEquals(revision, report.lowestRevision());
  }

  // All VMs of a zone fail. Reports that would have been forwarded by the zone must bypass it.
  // Otherwise the zones below it in the tree would treat live zones as silent and stop steering
  // callers to them.
  @Test
  void reportsBypassASilentZone() {
    fixture.storeContract(20);
    for (int zone = 10; zone < 26; zone++) {
      fixture.addNode("vm-" + zone + "-a", "zone-" + zone);
      fixture.addNode("vm-" + zone + "-b", "zone-" + zone);
    }
    fixture.advance(SETTLING_TIME);
    nodesInZone("zone-14").forEach(node -> node.hasFailed = true);
    fixture.advance(Duration.ofSeconds(20));
    for (FakeNode node : fixture.nodes.values()) {
      if (node.hasFailed) {
        continue;
      }
      for (int zone = 10; zone < 26; zone++) {
        String name = "zone-" + zone;
        int members =
            node.machine.replicatedState().buildClusterState().views().get(name).members().size();
        assertEquals(zone == 14 ? 0 : 2, members, name + " at " + node.vm);
      }
    }
  }

  // One of the two speakers of a zone is paused. Reports of the zone must still arrive, or it would
  // count as silent although its other entry VMs serve callers.
  @Test
  void pausedSpeakerDoesNotMakeItsZoneSilent() {
    fixture.storeContract(20);
    startTwoZones();
    FakeNode observer = nodesInZone("tartu-2").get(0);
    RelayedView observedView = observer.machine.replicatedState().view("tartu-1").orElseThrow();
    fixture.nodes.get(PeerDirectory.speaker(observedView, 1)).isPaused = true;
    long previousReportMillis =
        observer.machine.replicatedState().reports().get("tartu-1").takenAtMillis();
    fixture.advance(Duration.ofMillis(2_500));
    assertTrue(
        observer.machine.replicatedState().reports().get("tartu-1").takenAtMillis()
            > previousReportMillis);
  }

  private void startTwoZones() {
    for (int i = 1; i <= 6; i++) {
      fixture.addNode("vm-" + i, i <= 3 ? "tartu-1" : "tartu-2");
    }
    fixture.advance(SETTLING_TIME);
    fixture.nodes.values().forEach(node -> assertTrue(node.machine.isReady(), node.vm));
  }

  private List<FakeNode> nodesInZone(String zone) {
    return fixture.nodes.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }

  private List<FakeNode> relays(String zone) {
    return nodesInZone(zone).stream().filter(node -> !node.hasFailed && node.isRelay()).toList();
  }

  private static ZoneView view(FakeNode node, String zone) {
    return node.machine.replicatedState().view(zone).orElseThrow().view();
  }
}
