package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.entry.control.MachineFakes.NodeFake;

class ZoneTakeOverTest {
  private static final int SLOTS = 3;
  private static final String DEAD = "tartu-1";
  private static final String NEIGHBOUR = "tartu-2";

  private final MachineFakes fakes = new MachineFakes();

  @BeforeEach
  void startTwoZonesOfOneRegion() {
    fakes.accept(20);
    for (int i = 1; i <= 6; i++) {
      fakes.add("vm-" + i, i <= 3 ? DEAD : NEIGHBOUR);
    }
    fakes.run(Duration.ofSeconds(12));
    assertEquals(SLOTS, usable("target-vm-1", DEAD));
  }

  // Story: all entry VMs of a zone die at once, its targets go on. Nobody is left to hold them, and
  // callers of the zone are turned away although a third of the customer's capacity is idle.
  @Test
  void targetsOfADeadZoneAreServedByItsNeighbourWithPartOfTheSlots() {
    zone(DEAD).forEach(node -> node.dead = true);
    runWithoutOverload(Duration.ofSeconds(5));
    assertEquals(0, usable("target-vm-1", NEIGHBOUR), "a pause could still end");
    runWithoutOverload(Duration.ofSeconds(8));
    for (int i = 1; i <= 3; i++) {
      assertEquals(1, usable("target-vm-" + i, NEIGHBOUR));
    }
    assertEquals(SLOTS, usable("target-vm-4", NEIGHBOUR));
  }

  // Story: a zone is cut off and serves on. Taken for dead, its targets would get work from two
  // sides. Cause: silence alone; but under a cut the targets are out of reach, too.
  @Test
  void nobodyTakesOverAZoneThatIsOnlyCutOff() {
    fakes.cutZones.add(DEAD);
    runWithoutOverload(Duration.ofSeconds(60));
    assertEquals(SLOTS, usable("target-vm-1", DEAD));
    assertEquals(0, usable("target-vm-1", NEIGHBOUR));
  }

  // Story: only the entry VMs are cut off, their targets can be reached from both sides. The
  // targets are at work for the silent zone, which shows that it lives.
  @Test
  void busyTargetOfASilentZoneIsLeftAlone() {
    fakes.busyTargets.add("target-vm-1");
    zone(DEAD).forEach(node -> node.dead = true);
    runWithoutOverload(Duration.ofSeconds(15));
    assertEquals(0, usable("target-vm-1", NEIGHBOUR));
    assertEquals(1, usable("target-vm-2", NEIGHBOUR));
  }

  // Story: the zone's VMs are replaced while the neighbour has its targets. Starting with all slots
  // before they know, both zones together would send more than the targets take.
  @Test
  void slotsGoBackWithoutDoubleHoldingWhenTheZoneIsBack() {
    zone(DEAD).forEach(node -> node.dead = true);
    fakes.run(Duration.ofSeconds(15));
    for (int i = 1; i <= 3; i++) {
      fakes.add("vm-" + i, DEAD);
    }
    runWithoutOverload(Duration.ofSeconds(25));
    for (int i = 1; i <= 3; i++) {
      assertEquals(SLOTS, usable("target-vm-" + i, DEAD));
      assertEquals(0, usable("target-vm-" + i, NEIGHBOUR));
    }
  }

  // Story: a whole zone is paused for longer than the silence and wakes unaware. It still has its
  // views and would go on with all slots while the neighbour uses half of them.
  @Test
  void zoneThatWakesFromAPauseOfAllItsVmsWaitsForItsSlots() {
    zone(DEAD).forEach(node -> node.paused = true);
    fakes.run(Duration.ofSeconds(15));
    assertEquals(1, usable("target-vm-1", NEIGHBOUR));
    zone(DEAD).forEach(node -> node.paused = false);
    runWithoutOverload(Duration.ofSeconds(30));
    assertEquals(SLOTS, usable("target-vm-1", DEAD));
    assertEquals(0, usable("target-vm-1", NEIGHBOUR));
  }

  // Story: the neighbour's relay dies while it has the targets. The next relay finds them in its
  // zone's last view and would take them for its own, with all slots.
  @Test
  void nextRelayOfTheNeighbourKeepsToPartOfTheSlots() {
    zone(DEAD).forEach(node -> node.dead = true);
    fakes.run(Duration.ofSeconds(15));
    NodeFake relay = zone(NEIGHBOUR).stream().filter(NodeFake::relaying).findFirst().orElseThrow();
    relay.dead = true;
    runWithoutOverload(Duration.ofSeconds(20));
    int together = 0;
    for (int i = 1; i <= 3; i++) {
      int used = usable("target-vm-" + i, NEIGHBOUR);
      assertTrue(used <= 1, "target-vm-" + i + " " + used);
      together += used;
    }
    assertTrue(together >= 1, "all were lost with the relay");
  }

  private void runWithoutOverload(Duration length) {
    long steps = length.toNanos() / MachineFakes.STEP.toNanos();
    for (long step = 0; step < steps; step++) {
      fakes.step();
      for (int i = 1; i <= 6; i++) {
        String target = "target-vm-" + i;
        int home = usable(target, DEAD);
        int elsewhere = usable(target, NEIGHBOUR);
        assertTrue(
            home + elsewhere <= SLOTS,
            target + " at step " + step + ": " + home + " and " + elsewhere);
      }
    }
  }

  /** Slots of the target that entry VMs of that zone would use now. */
  private int usable(String target, String zone) {
    int slots = 0;
    for (NodeFake node : zone(zone)) {
      if (node.dead || node.paused) {
        continue;
      }
      RelayedView view = node.machine.known().view(zone).orElse(null);
      List<Holding> holdings = view == null ? List.of() : view.view().holdings();
      for (Holding holding : holdings) {
        if (holding.target().equals(target) && holding.holder().equals(node.vm)) {
          slots += node.machine.guard().usableSlots(holding);
        }
      }
    }
    return slots;
  }

  private List<NodeFake> zone(String zone) {
    return fakes.nodes.values().stream().filter(node -> node.zone.equals(zone)).toList();
  }
}
