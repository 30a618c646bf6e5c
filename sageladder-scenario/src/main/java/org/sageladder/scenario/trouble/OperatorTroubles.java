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

/** What operators do in a day. */
final class OperatorTroubles {
  private static final long EMPTIED_MILLIS = 8_000;
  private static final long EMPTIED_AFTER_MILLIS = 500;

  /** Over in the pause between two tries of a kernel, the last of which comes 6 s later. */
  private static final long CUT_MILLIS = 6_600;

  private static final long MOVED_MILLIS = 5_000;

  private static final String ADDED = "added";
  private static final long ADDED_GOAL_MILLIS = 1_000;
  private static final long ADDED_DEADLINE_MILLIS = 1_000;
  private static final long ADDED_WORK_MILLIS = 5;
  private static final double ADDED_PER_SECOND = 5;
  private static final int ADDED_OBJECTS = 24;

  /** Requests beside those of a usual hour. */
  private static final double RUSH = 1.5;

  private OperatorTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("zone-emptied", OperatorTroubles::emptyZone);
    all.put("zone-emptied-behind-a-cut", OperatorTroubles::emptyZoneBehindACut);
    all.put("route-moved", OperatorTroubles::moveRoute);
    all.put("route-added", OperatorTroubles::addRoute);
    all.put("weights-changed", OperatorTroubles::changeWeights);
  }

  /** A zone is emptied, and taken back with cold targets. */
  private static void emptyZone(Fleet fleet, Random random) {
    String zone = Troubles.pickOne(fleet, random).host().zone();
    fleet.empty(zone);
    fleet.after(EMPTIED_MILLIS, () -> fleet.takeBack(zone));
  }

  /**
   * Nothing gets into a zone any more, and it is emptied; after the cut it stays so for a while.
   */
  private static void emptyZoneBehindACut(Fleet fleet, Random random) {
    String zone = Troubles.pickOne(fleet, random).host().zone();
    fleet.entries().stream()
        .filter(entry -> entry.host().zone().equals(zone))
        .forEach(entry -> Troubles.noteAt(fleet, entry, CUT_MILLIS));
    Troubles.noteLinksTo(fleet, zone, CUT_MILLIS);
    Partition cut =
        fleet
            .network()
            .partition((from, to) -> to.zone().equals(zone) && !from.zone().equals(zone));
    fleet.after(EMPTIED_AFTER_MILLIS, () -> fleet.empty(zone));
    fleet.after(CUT_MILLIS, cut::close);
    fleet.after(EMPTIED_AFTER_MILLIS + 2 * EMPTIED_MILLIS, () -> fleet.takeBack(zone));
  }

  /** A route goes to another service, and soon after back. */
  private static void moveRoute(Fleet fleet, Random random) {
    Map<String, RouteRule> before =
        fleet.routes().stream().collect(Collectors.toMap(RouteRule::name, route -> route));
    fleet.configure(fleet.routes().stream().map(OperatorTroubles::moved).toList());
    // Routes that were added meanwhile stay.
    fleet.after(
        MOVED_MILLIS,
        () ->
            fleet.configure(
                fleet.routes().stream()
                    .map(route -> before.getOrDefault(route.name(), route))
                    .toList()));
  }

  /** Half of a route's requests go to another service from now on. */
  private static void changeWeights(Fleet fleet, Random random) {
    fleet.configure(fleet.routes().stream().map(OperatorTroubles::split).toList());
  }

  /**
   * A route is added for short requests to the service that has most to do, under more load than
   * usual: its callers have little time, and the goal that the operator wrote is far above what a
   * run takes.
   */
  private static void addRoute(Fleet fleet, Random random) {
    RequestProfile busiest =
        fleet.deployment().kinds().stream()
            .max(
                Comparator.comparingDouble(
                    kind -> kind.requestsPerSecond() * kind.meanServiceMillis()))
            .orElseThrow();
    RouteRule like =
        fleet.routes().stream()
            .filter(route -> route.name().equals(busiest.route()))
            .findFirst()
            .orElseThrow();
    RouteRule added =
        new RouteRule(
            ADDED,
            like.host(),
            '/' + ADDED + '/',
            true,
            like.timeoutMillis(),
            ADDED_GOAL_MILLIS,
            like.priority(),
            like.services(),
            like.maxTargets(),
            true,
            like.regions(),
            like.anonymous());
    fleet.addRoute(added, shortRequests(added));
    fleet.callers().forEach(callers -> callers.setRateFactor(RUSH));
  }

  private static RequestProfile shortRequests(RouteRule route) {
    return new RequestProfile(
        route.name(),
        route.host(),
        route.prefix(),
        true,
        ADDED_PER_SECOND,
        ADDED_WORK_MILLIS,
        route.latencyGoalMillis(),
        ADDED_DEADLINE_MILLIS,
        0,
        ADDED_OBJECTS,
        RequestProfile.ConnectionUse.FRESH);
  }

  private static RouteRule moved(RouteRule route) {
    return route.name().equals("bid")
        ? route.withServices(List.of(new ServiceShare("archive", 1)))
        : route;
  }

  private static RouteRule split(RouteRule route) {
    List<ServiceShare> halves =
        List.of(new ServiceShare("ledger", 1), new ServiceShare("archive", 1));
    return route.name().equals("bid") ? route.withServices(halves) : route;
  }
}
