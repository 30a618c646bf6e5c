package org.sageladder.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes the services of a route in turn, so that each gets its weight's part of any run of
 * requests.
 *
 * <p>Smooth weighted round robin: each turn every service earns its weight and the richest one pays
 * the sum. After n requests each service is within one request of its exact part, which chance
 * would only reach to within the square root of n. Not safe for use by several threads.
 */
public final class SmoothWeightedRoundRobin {
  private final Map<String, Long> credit = new HashMap<>();

  private SmoothWeightedRoundRobin() {}

  /** Turns that begin with the service of the highest weight. */
  public static SmoothWeightedRoundRobin create() {
    return new SmoothWeightedRoundRobin();
  }

  /** The service whose turn it is. {@code services} must not be empty. */
  public String next(List<ServiceShare> services) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    credit.keySet().removeIf(known -> services.stream().noneMatch(s -> s.service().equals(known)));
    String best = services.get(0).service();
    long most = Long.MIN_VALUE;
    long sum = 0;
    for (ServiceShare share : services) {
      long now = credit.merge(share.service(), (long) share.weight(), Long::sum);
      sum += share.weight();
      if (now > most) {
        most = now;
        best = share.service();
      }
    }
    credit.merge(best, -sum, Long::sum);
    return best;
  }
}
