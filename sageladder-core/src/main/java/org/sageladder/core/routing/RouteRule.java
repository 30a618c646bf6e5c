package org.sageladder.core.routing;

import java.util.List;
import java.util.Set;

/**
 * Where the requests of one host and path prefix go and what may be done with them.
 *
 * @param name the operator's name of the route
 * @param host host that callers name, in lower case
 * @param prefix beginning of the path; begins and ends with a slash
 * @param idempotent true where a request may run more than once
 * @param timeoutMillis longest time that a request may be kept waiting, from its arrival
 * @param latencyGoalMillis time within which an answer is worth its full credit
 * @param priority rank; 0 is the highest
 * @param services services among which the requests are divided, with weights
 * @param maxTargets most targets to which one request may be sent
 * @param hasObjectAffinity true where a target that has handled the object recently is faster
 * @param regions regions in which requests may run; empty means all
 * @param anonymous true where requests need no API key
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    boolean idempotent,
    long timeoutMillis,
    long latencyGoalMillis,
    int priority,
    List<ServiceShare> services,
    int maxTargets,
    boolean hasObjectAffinity,
    Set<String> regions,
    boolean anonymous) {
  /** Copies the collections, so that the rule cannot change. */
  public RouteRule {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
  }

  /** True where requests of this route may run in {@code region}. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }

  /** The same route, to other services. */
  public RouteRule withServices(List<ServiceShare> others) {
    return new RouteRule(
        name,
        host,
        prefix,
        idempotent,
        timeoutMillis,
        latencyGoalMillis,
        priority,
        others,
        maxTargets,
        hasObjectAffinity,
        regions,
        anonymous);
  }
}
