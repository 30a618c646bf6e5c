package org.sageladder.core.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class OverlayProperties {
  @Property(tries = 100, seed = "20261202")
  void zoneTreeReachesEveryMemberWithBoundedFanOut(
      @ForAll @IntRange(min = 1, max = 60) int size,
      @ForAll @IntRange(min = 1, max = 4) int fanOut) {
    List<String> members = names("vm-", size);
    Map<String, Integer> hops =
        hopsFrom("vm-00", vm -> Overlay.zoneTree(members, "vm-00", vm, fanOut));
    assertEquals(size, hops.size());
    for (String member : members) {
      List<String> neighbours = Overlay.zoneTree(members, "vm-00", member, fanOut);
      assertTrue(neighbours.size() <= fanOut + 1);
      for (String neighbour : neighbours) {
        assertTrue(Overlay.zoneTree(members, "vm-00", neighbour, fanOut).contains(member));
      }
    }
  }

  // Guards against a partition: if all paths between two zones led through a third one, its loss
  // would separate them although they can reach each other.
  @Property(tries = 100, seed = "20261202")
  void lossOfOneZoneLeavesTheOthersConnected(
      @ForAll @IntRange(min = 3, max = 94) int size, @ForAll @IntRange(max = 93) int lostIndex) {
    List<String> zones = names("zone-", size);
    String lost = zones.get(lostIndex % size);
    String start = zones.get((lostIndex + 1) % size);
    Map<String, Integer> hops =
        hopsFrom(
            start,
            zone ->
                Overlay.zoneNeighbours(zones, zone).stream().filter(z -> !z.equals(lost)).toList());
    assertEquals(size - 1, hops.size());
  }

  @Property(tries = 94, seed = "20261202")
  void zoneHasAtMostFourNeighboursAndPathsAreShort(@ForAll @IntRange(min = 1, max = 94) int size) {
    List<String> zones = names("zone-", size);
    Map<String, Integer> hops = hopsFrom("zone-00", zone -> Overlay.zoneNeighbours(zones, zone));
    int root = (int) Math.ceil(Math.sqrt(size));
    assertTrue(hops.values().stream().allMatch(distance -> distance <= root + 1), hops::toString);
    for (String zone : zones) {
      assertTrue(Overlay.zoneNeighbours(zones, zone).size() <= 4);
    }
  }

  @Property(tries = 100, seed = "20261202")
  void treeWithLeafReachesEveryMemberAndLeafForwardsNothing(
      @ForAll @IntRange(min = 1, max = 60) int size) {
    List<String> members = names("vm-", size);
    String leaf = members.get(size / 3);
    String root = members.stream().filter(vm -> !vm.equals(leaf)).findFirst().orElse(leaf);
    Function<String, Collection<String>> tree =
        vm -> Overlay.zoneTreeWithLeaf(members, root, leaf, vm, 2);
    assertEquals(size, hopsFrom(root, tree).size());
    assertEquals(size, hopsFrom(leaf, tree).size());
    assertTrue(tree.apply(leaf).size() <= 1 || size == 1);
    members.forEach(vm -> assertTrue(tree.apply(vm).size() <= 4, vm));
  }

  // Guards against exceeding the byte budget: sent over every link of the mesh, each summary passes
  // a relay about eight times, and at 94 zones the summaries alone are several times the budget.
  @Property(tries = 100, seed = "20261202")
  void summaryReachesEachZoneExactlyOnceOverExistingLinks(
      @ForAll @IntRange(min = 1, max = 94) int size, @ForAll @IntRange(max = 93) int originIndex) {
    List<String> zones = names("zone-", size);
    String origin = zones.get(originIndex % size);
    Map<String, Integer> receivedCounts = new HashMap<>(Map.of(origin, 1));
    Deque<String> queue = new ArrayDeque<>(List.of(origin));
    while (!queue.isEmpty()) {
      String here = queue.remove();
      for (String child : Overlay.summaryChildren(zones, origin, here)) {
        assertTrue(Overlay.zoneNeighbours(zones, here).contains(child), here + " to " + child);
        assertEquals(1, receivedCounts.merge(child, 1, Integer::sum), child);
        queue.add(child);
      }
    }
    assertEquals(size, receivedCounts.size());
  }

  private static List<String> names(String prefix, int size) {
    return IntStream.range(0, size).mapToObj(i -> String.format("%s%02d", prefix, i)).toList();
  }

  private static Map<String, Integer> hopsFrom(
      String start, Function<String, Collection<String>> neighbours) {
    Map<String, Integer> hops = new HashMap<>(Map.of(start, 0));
    Deque<String> queue = new ArrayDeque<>(List.of(start));
    while (!queue.isEmpty()) {
      String here = queue.remove();
      for (String next : neighbours.apply(here)) {
        if (hops.putIfAbsent(next, hops.get(here) + 1) == null) {
          queue.add(next);
        }
      }
    }
    return hops;
  }
}
