package org.sageladder.core.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;

class FallbackOrderTest {
  private static final long NOW = 1_000_000;
  private static final int SOUTH_BLOCK = 50;

  @Test
  void answersForFullRegionIncludeEveryRegionWithHeadroom() {
    // South receives five times the demand that it can serve; north has twice the headroom of west.
    // If all answers ended with the zone with the most headroom, the refused callers would fill
    // that zone and be refused there as well, while west is half idle.
    Map<String, Integer> firstRemoteCounts = new HashMap<>();
    for (Route route : answers(500, 20, 70)) {
      List<String> regions = regionsOf(route);
      assertEquals(Set.of("south", "north", "west"), Set.copyOf(regions), regions.toString());
      String firstRemote = regions.stream().filter(name -> !name.equals("south")).findFirst().get();
      firstRemoteCounts.merge(firstRemote, 1, Integer::sum);
    }
    double ratio = firstRemoteCounts.get("north") / (double) firstRemoteCounts.get("west");
    assertTrue(ratio > 1.5 && ratio < 2.7, firstRemoteCounts.toString());
  }

  @Test
  void answersForRegionWithHeadroomStartWithThreeLocalEntries() {
    // When a VM fails, its callers should find the next entry VM in their own region, where answers
    // are near and targets are warm.
    for (Route route : answers(60, 20, 20)) {
      List<String> regions = regionsOf(route);
      assertEquals(List.of("south", "south", "south"), regions.subList(0, 3));
      assertEquals(4, Set.copyOf(route.entries()).size());
      assertTrue(
          !regions.get(3).equals("south"), "the last entry must survive the loss of the region");
    }
  }

  private static List<String> regionsOf(Route route) {
    return route.entries().stream()
        .map(Member::zone)
        .map(zone -> zone.substring(0, zone.length() - 1))
        .collect(Collectors.toList());
  }

  /**
   * Returns all answers for a caller of south, for the given demand on each region. Each region can
   * serve 108 requests per second.
   */
  private static List<Route> answers(double south, double north, double west) {
    Contract contract = LookUpTableTest.contract();
    ClusterState withoutSummaries = LookUpTableTest.state(contract, "");
    List<ZoneSummary> summaries = new ArrayList<>();
    for (String zone : contract.zones()) {
      double demand = zone.startsWith("s") ? south : zone.startsWith("n") ? north : west;
      double admitted = Math.min(54, demand / 2);
      summaries.add(new ZoneSummary(zone, "c", "s", NOW, 6, 0, 0, admitted, 60, demand / 2));
    }
    ClusterState state =
        new ClusterState(withoutSummaries.contracts(), withoutSummaries.views(), summaries);
    LookUpTable table = LookUpTable.build(state, SteeringInputs.at(NOW));
    List<Route> routes = new ArrayList<>();
    for (int random = 0; random < ServiceTable.MIN_ANSWERS; random++) {
      Route route = table.lookUp("c", "s", SOUTH_BLOCK, random);
      assertNotNull(route);
      routes.add(route);
    }
    return routes;
  }
}
