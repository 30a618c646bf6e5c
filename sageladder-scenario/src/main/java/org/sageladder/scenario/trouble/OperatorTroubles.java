package org.sageladder.scenario.trouble;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.scenario.Fleet;
import org.sageladder.standin.network.SimulatedNetwork.Partition;
import org.sageladder.standin.platform.RequestProfile;

/** Troubles that operators cause by changing the configuration. */
final class OperatorTroubles {
  private static final long EVACUATED_MILLIS = 8_000;
  private static final long EVACUATION_DELAY_MILLIS = 500;

  /** Ends in the pause between two TCP retransmissions, the last of which comes 6 s later. */
  private static final long CUT_MILLIS = 6_600;

  private static final long MOVED_MILLIS = 5_000;

  private static final String ADDED_ROUTE = "added";
  private static final long ADDED_ROUTE_DEADLINE_MILLIS = 1_000;
  private static final double ADDED_ROUTE_REQUESTS_PER_SECOND = 5;

  /** Factor on the usual request rate while the route is added. */
  private static final double ADDED_ROUTE_RATE_FACTOR = 1.5;

  private OperatorTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("zone-emptied", OperatorTroubles::evacuateZone);
    all.put("zone-emptied-behind-a-cut", OperatorTroubles::evacuateUnreachableZone);
    all.put("route-moved", OperatorTroubles::moveRoute);
    all.put("route-added", OperatorTroubles::addRoute);
    all.put("weights-changed", OperatorTroubles::changeWeights);
  }

  /** Evacuates a zone, and later puts it back into service with cold targets. */
  private static void evacuateZone(Fleet fleet, Random random) {
    String zone = Troubles.pickEntry(fleet, random).host().zone();
    fleet.evacuate(zone);
    fleet.runAfter(EVACUATED_MILLIS, () -> fleet.endEvacuation(zone));
  }

  /**
   * Drops everything sent into a zone, and evacuates the zone meanwhile. The zone stays evacuated
   * for a while after its links are back.
   */
  private static void evacuateUnreachableZone(Fleet fleet, Random random) {
    String zone = Troubles.pickEntry(fleet, random).host().zone();
    fleet.entries().stream()
        .filter(entry -> entry.host().zone().equals(zone))
        .forEach(entry -> Troubles.recordAt(fleet, entry, CUT_MILLIS));
    Troubles.recordLinksTo(fleet, zone, CUT_MILLIS);
    Partition cut =
        fleet
            .network()
            .partition((from, to) -> to.zone().equals(zone) && !from.zone().equals(zone));
    fleet.runAfter(EVACUATION_DELAY_MILLIS, () -> fleet.evacuate(zone));
    fleet.runAfter(CUT_MILLIS, cut::close);
    fleet.runAfter(EVACUATION_DELAY_MILLIS + 2 * EVACUATED_MILLIS, () -> fleet.endEvacuation(zone));
  }

  /** Moves a route to another service, and soon after back. */
  private static void moveRoute(Fleet fleet, Random random) {
    Map<String, RouteRule> original =
        fleet.routes().stream().collect(Collectors.toMap(RouteRule::name, route -> route));
    fleet.writeConfiguration(fleet.routes().stream().map(OperatorTroubles::withBidMoved).toList());
    // Routes that were added in the meantime are kept.
    fleet.runAfter(
        MOVED_MILLIS,
        () ->
            fleet.writeConfiguration(
                fleet.routes().stream()
                    .map(route -> original.getOrDefault(route.name(), route))
                    .toList()));
  }

  /** Sends half of a route's requests to another service from now on. */
  private static void changeWeights(Fleet fleet, Random random) {
    fleet.writeConfiguration(fleet.routes().stream().map(OperatorTroubles::withBidSplit).toList());
  }

  /**
   * Adds a route for short requests to the busiest service while the load is higher than usual. Its
   * callers have a short deadline, and its latency goal is far above the actual run time.
   */
  private static void addRoute(Fleet fleet, Random random) {
    RequestProfile busiest =
        fleet.deployment().requestProfiles().stream()
            .max(
                Comparator.comparingDouble(
                    profile -> profile.requestsPerSecond() * profile.meanServiceMillis()))
            .orElseThrow();
    RouteRule template =
        fleet.routes().stream()
            .filter(route -> route.name().equals(busiest.route()))
            .findFirst()
            .orElseThrow();
    RouteRule added = AddedRoutes.like(template, ADDED_ROUTE);
    fleet.addRoute(added, shortRequests(added));
    fleet.callers().forEach(callers -> callers.setRateFactor(ADDED_ROUTE_RATE_FACTOR));
  }

  private static RequestProfile shortRequests(RouteRule route) {
    return new RequestProfile(
        route.name(),
        route.host(),
        route.prefix(),
        true,
        ADDED_ROUTE_REQUESTS_PER_SECOND,
        AddedRoutes.WORK_MILLIS,
        route.latencyGoalMillis(),
        ADDED_ROUTE_DEADLINE_MILLIS,
        0,
        AddedRoutes.OBJECT_COUNT,
        RequestProfile.ConnectionUse.FRESH);
  }

  private static RouteRule withBidMoved(RouteRule route) {
    return route.name().equals("bid")
        ? route.withServices(List.of(new ServiceShare("archive", 1)))
        : route;
  }

  private static RouteRule withBidSplit(RouteRule route) {
    List<ServiceShare> halves =
        List.of(new ServiceShare("ledger", 1), new ServiceShare("archive", 1));
    return route.name().equals("bid") ? route.withServices(halves) : route;
  }
}
