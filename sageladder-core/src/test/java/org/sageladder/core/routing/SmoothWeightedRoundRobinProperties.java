package org.sageladder.core.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Shares of a weighted split. */
class SmoothWeightedRoundRobinProperties {
  /**
   * Shares must hold over any run of requests, not only in the long run. With random selection, an
   * operator who sends a tenth of the requests to a new service would see another share in each
   * short period.
   */
  @Property(seed = "4711", tries = 200)
  void eachShareIsExactWithinOneRequestPerService(
      @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 1, max = 100) Integer> weights,
      @ForAll @IntRange(min = 1, max = 300) int requests) {
    List<ServiceShare> shares = new ArrayList<>();
    int totalWeight = 0;
    for (int i = 0; i < weights.size(); i++) {
      shares.add(new ServiceShare("s" + i, weights.get(i)));
      totalWeight += weights.get(i);
    }
    SmoothWeightedRoundRobin roundRobin = SmoothWeightedRoundRobin.create();
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      counts.merge(roundRobin.next(shares), 1, Integer::sum);
    }
    for (ServiceShare share : shares) {
      double exact = (double) requests * share.weight() / totalWeight;
      double deviation = Math.abs(counts.getOrDefault(share.service(), 0) - exact);
      assertTrue(deviation <= shares.size(), share + " deviates by " + deviation + " requests");
    }
  }
}
