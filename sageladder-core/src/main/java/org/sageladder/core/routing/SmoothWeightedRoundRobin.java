package org.sageladder.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the requests of a route among its services in proportion to their weights, over any run
 * of requests.
 *
 * <p>Smooth weighted round robin: in each turn every service's credit grows by its weight, and the
 * service with the most credit is selected and pays the sum of all weights. After n requests each
 * service is within one request of its exact share; random selection would deviate by up to about
 * the square root of n. Not thread-safe.
 */
public final class SmoothWeightedRoundRobin {
  private final Map<String, Long> credit = new HashMap<>();

  private SmoothWeightedRoundRobin() {}

  /** Creates a rotation that starts with the service of the highest weight. */
  public static SmoothWeightedRoundRobin create() {
    return new SmoothWeightedRoundRobin();
  }

  /** Selects the service for the next request. {@code services} must not be empty. */
  public String next(List<ServiceShare> services) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    credit.keySet().removeIf(name -> services.stream().noneMatch(s -> s.service().equals(name)));
    String best = services.get(0).service();
    long maxCredit = Long.MIN_VALUE;
    long totalWeight = 0;
    for (ServiceShare share : services) {
      long newCredit = credit.merge(share.service(), (long) share.weight(), Long::sum);
      totalWeight += share.weight();
      if (newCredit > maxCredit) {
        maxCredit = newCredit;
        best = share.service();
      }
    }
    credit.merge(best, -totalWeight, Long::sum);
    return best;
  }
}
