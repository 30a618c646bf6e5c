package org.sageladder.scenario.trouble;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.scenario.Fleet;

/** What operators do in a day. */
final class OperatorTroubles {
  private static final long EMPTIED_MILLIS = 8_000;
  private static final long MOVED_MILLIS = 5_000;

  private OperatorTroubles() {}

  static void addTo(Map<String, Trouble> all) {
    all.put("zone-emptied", OperatorTroubles::emptyZone);
    all.put("route-moved", OperatorTroubles::moveRoute);
  }

  /** A zone is emptied, and taken back with cold targets. */
  private static void emptyZone(Fleet fleet, Random random) {
    String zone = Troubles.pickOne(fleet, random).host().zone();
    fleet.empty(zone);
    fleet.after(EMPTIED_MILLIS, () -> fleet.takeBack(zone));
  }

  /** A route goes to another service, and soon after back. */
  private static void moveRoute(Fleet fleet, Random random) {
    List<RouteRule> before = fleet.routes();
    fleet.configure(before.stream().map(OperatorTroubles::moved).toList());
    fleet.after(MOVED_MILLIS, () -> fleet.configure(before));
  }

  private static RouteRule moved(RouteRule route) {
    return route.name().equals("bid") ? route.to(List.of(new ServiceShare("archive", 1))) : route;
  }
}
