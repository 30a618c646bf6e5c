package org.sageladder.core.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;

class LookUpTableTest {
  private static final long NOW = 1_000_000;

  @Test
  void firstEntryIsGateHolderInCallersRegion() {
    LookUpTable table = LookUpTable.build(state(contract(), ""), SteeringInputs.at(NOW));
    for (int i = 0; i < 100; i++) {
      Route route = table.lookUp("c", "s", 150, i);
      assertNotNull(route);
      assertEquals("north", regionOf(route.entries().get(0)));
      assertTrue(route.entries().size() >= 2, "a caller needs a fallback when a VM fails");
    }
  }

  @Test
  void drainingEntryVmIsNeverReturned() {
    // A VM has begun its planned shutdown. An answer with this VM would send callers to a process
    // that is about to end, and the shutdown would never see its last request.
    LookUpTable table = LookUpTable.build(state(contract(), "north1-vm0"), SteeringInputs.at(NOW));
    for (int i = 0; i < 100; i++) {
      Route route = table.lookUp("c", "s", 150, i);
      assertNotNull(route);
      assertTrue(route.entries().stream().noneMatch(m -> m.vm().equals("north1-vm0")));
    }
  }

  @Test
  void unknownNamesAndBlocksHaveNoRoute() {
    LookUpTable table = LookUpTable.build(state(contract(), ""), SteeringInputs.at(NOW));
    assertNull(table.lookUp("other", "s", 150, 1));
    assertNull(table.lookUp("c", "other", 150, 1));
    assertNull(table.lookUp("c", "s", 9999, 1));
    assertNull(table.lookUp("c", "s", -1, 1));
  }

  @Test
  void everyGateOfLargeServiceIsReturnedFirst() {
    // With more gates in a region than answers in an array, a third of the gates was never returned
    // and had no requests, while the callers of the others were refused.
    LookUpTable table = LookUpTable.build(state(contract(), "", 60), SteeringInputs.at(NOW));
    Map<String, Integer> firstCounts = new HashMap<>();
    for (int i = 0; i < 1024; i++) {
      Route route = table.lookUp("c", "s", 150, i);
      assertNotNull(route);
      firstCounts.merge(route.entries().get(0).vm(), 1, Integer::sum);
    }
    assertEquals(120, firstCounts.size());
    int maxCount = firstCounts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    int minCount = firstCounts.values().stream().mapToInt(Integer::intValue).min().orElse(0);
    assertTrue(4 * maxCount <= 5 * minCount, "returned " + minCount + " to " + maxCount + " times");
  }

  private static String regionOf(Member member) {
    return member.zone().substring(0, member.zone().length() - 1);
  }

  static Contract contract() {
    Contract.ShiftCap cap = new Contract.ShiftCap(0.2, Duration.ofSeconds(10));
    Contract.Service service =
        new Contract.Service(
            "s",
            RequestClass.INTERACTIVE,
            true,
            12,
            3,
            330,
            100,
            4,
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(30),
            0.1,
            cap,
            cap);
    return new Contract(
        "c",
        7,
        List.of(
            new Contract.Region("south", List.of("south1", "south2")),
            new Contract.Region("north", List.of("north1", "north2")),
            new Contract.Region("west", List.of("west1", "west2"))),
        new Contract.Delays(1, 20, 1),
        List.of(
            new Contract.ClientBlocks(0, 99, "south"),
            new Contract.ClientBlocks(100, 199, "north"),
            new Contract.ClientBlocks(200, 299, "west")),
        List.of(),
        List.of(service));
  }

  static ClusterState state(Contract contract, String drainingVm) {
    return state(contract, drainingVm, 2);
  }

  private static ClusterState state(Contract contract, String drainingVm, int vmsPerZone) {
    Map<String, ZoneView> views = new HashMap<>();
    for (String zone : contract.zones()) {
      List<Member> members = new ArrayList<>();
      List<Holding> holdings = new ArrayList<>();
      for (int i = 0; i < vmsPerZone; i++) {
        String vm = zone + "-vm" + i;
        members.add(new Member(vm, zone, 1, "127.0.0.1", 1, 2, vm.equals(drainingVm)));
        holdings.add(new Holding(zone + "-t" + i, "c", "s", "127.0.0.1", 3, 1, vm, 3, false));
      }
      views.put(zone, new ZoneView(zone, 1, members, holdings));
    }
    return new ClusterState(Map.of("c", contract), views, List.of());
  }
}
