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

/** The parts of a split. */
class SmoothWeightedRoundRobinProperties {
  /**
   * An operator who sends a tenth of the requests to a new service would see another part in each
   * short time if chance decided: the parts have to hold over any run of requests, not in the long
   * run.
   */
  @Property(seed = "4711", tries = 200)
  void eachShareIsExactWithinOneRequestPerService(
      @ForAll @Size(min = 2, max = 4) List<@IntRange(min = 1, max = 100) Integer> weights,
      @ForAll @IntRange(min = 1, max = 300) int requests) {
    List<ServiceShare> shares = new ArrayList<>();
    int sum = 0;
    for (int i = 0; i < weights.size(); i++) {
      shares.add(new ServiceShare("s" + i, weights.get(i)));
      sum += weights.get(i);
    }
    SmoothWeightedRoundRobin turns = SmoothWeightedRoundRobin.create();
    Map<String, Integer> got = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      got.merge(turns.next(shares), 1, Integer::sum);
    }
    for (ServiceShare share : shares) {
      double exact = (double) requests * share.weight() / sum;
      double off = Math.abs(got.getOrDefault(share.service(), 0) - exact);
      assertTrue(off <= shares.size(), share + " is " + off + " off");
    }
  }
}
