package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.entry.control.ControlStateMachineFixture.FakeNode;

class ZoneTakeOverTest {
  private static final int SLOTS = 3;
  private static final String SILENT_ZONE = "tartu-1";
  private static final String NEIGHBOUR_ZONE = "tartu-2";

  private final ControlStateMachineFixture fixture = new ControlStateMachineFixture();

  @BeforeEach
  void startTwoZonesOfOneRegion() {
    fixture.storeContract(20);
    for (int i = 1; i <= 6; i++) {
      fixture.addNode("vm-" + i, i <= 3 ? SILENT_ZONE : NEIGHBOUR_ZONE);
    }
    fixture.advance(Duration.ofSeconds(12));
    assertEquals(SLOTS, usableSlots("target-vm-1", SILENT_ZONE));
  }

  // All entry VMs of a zone fail at once while its targets keep running. Without a take-over no VM
  // holds the targets, and callers of the zone are refused although a third of the customer's
  // capacity is idle.
  @Test
  void neighbourUsesPartOfTheSlotsOfAFailedZonesTargets() {
    nodesInZone(SILENT_ZONE).forEach(node -> node.hasFailed = true);
    advanceAndCheckSlots(Duration.ofSeconds(5));
    assertEquals(0, usableSlots("target-vm-1", NEIGHBOUR_ZONE), "a pause could still end");
    advanceAndCheckSlots(Duration.ofSeconds(8));
    for (int i = 1; i <= 3; i++) {
      assertEquals(1, usableSlots("target-vm-" + i, NEIGHBOUR_ZONE));
    }
    assertEquals(SLOTS, usableSlots("target-vm-4", NEIGHBOUR_ZONE));
  }

  // A partitioned zone keeps serving. If silence alone triggered a take-over, its targets would get
  // requests from two zones. In a partition, however, the targets are unreachable as well.
  @Test
  void partitionedZoneIsNotTakenOver() {
    fixture.partitionedZones.add(SILENT_ZONE);
    advanceAndCheckSlots(Duration.ofSeconds(60));
    assertEquals(SLOTS, usableSlots("target-vm-1", SILENT_ZONE));
    assertEquals(0, usableSlots("target-vm-1", NEIGHBOUR_ZONE));
  }

  // Only the entry VMs of a zone are partitioned, and its targets are reachable from both sides. A
  // busy target shows that the silent zone may still be serving.
  @Test
  void busyTargetOfASilentZoneIsNotTakenOver() {
    fixture.busyTargets.add("target-vm-1");
    nodesInZone(SILENT_ZONE).forEach(node -> node.hasFailed = true);
    advanceAndCheckSlots(Duration.ofSeconds(15));
    assertEquals(0, usableSlots("target-vm-1", NEIGHBOUR_ZONE));
    assertEquals(1, usableSlots("target-vm-2", NEIGHBOUR_ZONE));
  }

  // The VMs of a zone are replaced while the neighbour has taken over its targets. If the new VMs
  // used all slots before they learn of the take-over, both zones together would overload the
  // targets.
  @Test
  void slotsAreReturnedWithoutOverlapWhenTheZoneRestarts() {
    nodesInZone(SILENT_ZONE).forEach(node -> node.hasFailed = true);
    fixture.advance(Duration.ofSeconds(15));
    for (int i = 1; i <= 3; i++) {
      fixture.addNode("vm-" + i, SILENT_ZONE);
    }
    advanceAndCheckSlots(Duration.ofSeconds(25));
    for (int i = 1; i <= 3; i++) {
      assertEquals(SLOTS, usableSlots("target-vm-" + i, SILENT_ZONE));
      assertEquals(0, usableSlots("target-vm-" + i, NEIGHBOUR_ZONE));
    }
  }

  // All VMs of a zone are paused for longer than the silence timeout. When they resume, they still
  // have their views and would use all slots while the neighbour uses half of them.
  @Test
  void zoneResumedAfterAPauseWaitsForItsSlots() {
    nodesInZone(SILENT_ZONE).forEach(node -> node.isPaused = true);
    fixture.advance(Duration.ofSeconds(15));
    assertEquals(1, usableSlots("target-vm-1", NEIGHBOUR_ZONE));
    nodesInZone(SILENT_ZONE).forEach(node -> node.isPaused = false);
    advanceAndCheckSlots(Duration.ofSeconds(30));
    assertEquals(SLOTS, usableSlots("target-vm-1", SILENT_ZONE));
    assertEquals(0, usableSlots("target-vm-1", NEIGHBOUR_ZONE));
  }

  // The neighbour's relay fails while its zone has taken over targets. The next relay finds them in
  // its zone's last view and could mistake them for targets of its own zone, with all slots.
  @Test
  void nextRelayOfTheNeighbourStillUsesPartOfTheSlots() {
    nodesInZone(SILENT_ZONE).forEach(node -> node.hasFailed = true);
    fixture.advance(Duration.ofSeconds(15));
    FakeNode relay =
        nodesInZone(NEIGHBOUR_ZONE).stream().filter(FakeNode::isRelay).findFirst().orElseThrow();
    relay.hasFailed = true;
    advanceAndCheckSlots(Duration.ofSeconds(20));
    int totalSlots = 0;
    for (int i = 1; i <= 3; i++) {
      int slots = usableSlots("target-vm-" + i, NEIGHBOUR_ZONE);
      assertTrue(slots <= 1, "target-vm-" + i + " " + slots);
      totalSlots += slots;
    }
    assertTrue(totalSlots >= 1, "no slot is used after the relay failed");
  }

  private void advanceAndCheckSlots(Duration length) {
    long steps = length.toNanos() / ControlStateMachineFixture.STEP.toNanos();
    for (long step = 0; step < steps; step++) {
      fixture.step();
      for (int i = 1; i <= 6; i++) {
        String target = "target-vm-" + i;
        int ownSlots = usableSlots(target, SILENT_ZONE);
        int neighbourSlots = usableSlots(target, NEIGHBOUR_ZONE);
        assertTrue(
            ownSlots + neighbourSlots <= SLOTS,
            target + " at step " + step + ": " + ownSlots + " and " + neighbourSlots);
      }
    }
  }

  /** Number of slots of {@code target} that the entry VMs of {@code zone} may use now. */
  private int usableSlots(String target, String zone) {
    int slots = 0;
    for (FakeNode node : nodesInZone(zone)) {
      if (node.hasFailed || node.isPaused) {
        continue;
      }
      RelayedView view = node.machine.replicatedState().view(zone).orElse(null);
      List<Holding> holdings = view == null ? List.of() : view.view().holdings();
      for (Holding holding : holdings) {
        if (holding.target().equals(target) && holding.holder().equals(node.vm)) {
          slots += node.machine.guard().usableSlots(holding);
        }
      }
    }
    return slots;
  }

  private List<FakeNode> nodesInZone(String zone) {
    return fixture.nodes.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }
}
