package org.sageladder.core.routing;

import java.util.List;
import java.util.Set;

/**
 * Rule for the requests of one host and path prefix: the services they go to and how they may be
 * handled.
 *
 * @param name name of the route, given by the operator
 * @param host host name in the request, in lower case
 * @param prefix prefix of the path; begins and ends with a slash
 * @param idempotent true if a request may run more than once
 * @param timeoutMillis maximum time that a request may be kept waiting, from its arrival
 * @param latencyGoalMillis time within which a response earns its full credit
 * @param priority priority of the requests; 0 is the highest
 * @param services weighted services among which the requests are divided
 * @param maxTargets maximum number of targets to which one request may be sent
 * @param hasObjectAffinity true if a target that has recently handled the same object is faster
 * @param regions regions in which requests may run; empty for all
 * @param anonymous true if requests need no API key
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
  /** Copies the collections to keep the rule immutable. */
  public RouteRule {
    services = List.copyOf(services);
    regions = Set.copyOf(regions);
  }

  /** True if requests of this route may run in {@code region}. */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.contains(region);
  }

  /** True if requests of this route may go to that service. */
  public boolean mayUse(String service) {
    return services.stream().anyMatch(share -> share.service().equals(service));
  }

  /** Returns the same rule with other services. */
  public RouteRule withServices(List<ServiceShare> newServices) {
    return new RouteRule(
        name,
        host,
        prefix,
        idempotent,
        timeoutMillis,
        latencyGoalMillis,
        priority,
        newServices,
        maxTargets,
        hasObjectAffinity,
        regions,
        anonymous);
  }
}
