package org.sageladder.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One version of the operator's configuration, ready to be asked for each request.
 *
 * <pre>{@code
 * RoutingRules rules = RoutingRules.of(7, routes, services, CallerLimits.standard());
 * rules.match("shop.example", "/lots/2f"); // the route with the longest prefix, or empty
 * }</pre>
 *
 * <p>Immutable. A look-up takes one map access for each slash of the path, however many routes
 * there are.
 */
public final class RoutingRules {
  private final long version;
  private final Map<String, Map<String, RouteRule>> routes;
  private final Map<String, ServiceRule> services;
  private final CallerLimits limits;
  private final ApiKeys keys;

  private RoutingRules(
      long version,
      Map<String, Map<String, RouteRule>> routes,
      Map<String, ServiceRule> services,
      CallerLimits limits,
      ApiKeys keys) {
    this.version = version;
    this.routes = routes;
    this.services = services;
    this.limits = limits;
    this.keys = keys;
  }

  /** The rules of one version without workspaces. */
  public static RoutingRules of(
      long version,
      Collection<RouteRule> routes,
      Collection<ServiceRule> services,
      CallerLimits limits) {
    return of(version, routes, services, limits, ApiKeys.none());
  }

  /** The rules of one version; of two routes with one host and prefix the later one counts. */
  public static RoutingRules of(
      long version,
      Collection<RouteRule> routes,
      Collection<ServiceRule> services,
      CallerLimits limits,
      ApiKeys keys) {
    Map<String, Map<String, RouteRule>> byHost = new HashMap<>();
    for (RouteRule route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
    Map<String, ServiceRule> byName = new HashMap<>();
    for (ServiceRule service : services) {
      byName.put(service.name(), service);
    }
    return new RoutingRules(version, byHost, byName, limits, keys);
  }

  /** Number of the configuration; a newer one has a higher number. */
  public long version() {
    return version;
  }

  /** Names of all routes. */
  public Set<String> routeNames() {
    return routes.values().stream()
        .flatMap(ofHost -> ofHost.values().stream())
        .map(RouteRule::name)
        .collect(Collectors.toSet());
  }

  /** What callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** The API keys, and who holds them. */
  public ApiKeys keys() {
    return keys;
  }

  /** What is said of {@code service}, or empty where the configuration does not name it. */
  public Optional<ServiceRule> service(String service) {
    return Optional.ofNullable(services.get(service));
  }

  /** Longest time that any service's targets stay cold; 0 without services. */
  public long maxColdMillis() {
    return services.values().stream().mapToLong(ServiceRule::coldMillis).max().orElse(0);
  }

  /** How many routes there are. */
  public int routeCount() {
    return routes.values().stream().mapToInt(Map::size).sum();
  }

  /** The route of {@code host} with the longest prefix that begins {@code path}, without query. */
  public Optional<RouteRule> match(String host, String path) {
    Map<String, RouteRule> ofHost = routes.get(host);
    if (ofHost == null) {
      return Optional.empty();
    }
    int slash = path.lastIndexOf('/');
    while (slash >= 0) {
      RouteRule route = ofHost.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return Optional.empty();
  }
}
