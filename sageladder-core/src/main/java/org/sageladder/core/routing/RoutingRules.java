package org.sageladder.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The routing rules of one version of the operator's configuration, indexed for look-ups per
 * request.
 *
 * <pre>{@code
 * RoutingRules rules = RoutingRules.of(7, routes, services, CallerLimits.standard());
 * rules.match("shop.example", "/lots/2f"); // the route with the longest prefix, or empty
 * }</pre>
 *
 * <p>Immutable. A look-up takes at most one map access per slash of the path, regardless of the
 * number of routes.
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

  /** Creates the rules of a version without workspaces. */
  public static RoutingRules of(
      long version,
      Collection<RouteRule> routes,
      Collection<ServiceRule> services,
      CallerLimits limits) {
    return of(version, routes, services, limits, ApiKeys.none());
  }

  /**
   * Creates the rules of a version. If two routes have the same host and prefix, the later one
   * wins.
   */
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

  /** Version of the configuration; a newer one has a higher number. */
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

  /** Limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** The API keys and their workspaces. */
  public ApiKeys keys() {
    return keys;
  }

  /** The rule of {@code service}, or empty if the configuration does not contain it. */
  public Optional<ServiceRule> service(String service) {
    return Optional.ofNullable(services.get(service));
  }

  /** Maximum time for which the targets of any service stay cold; 0 without services. */
  public long maxColdMillis() {
    return services.values().stream().mapToLong(ServiceRule::coldMillis).max().orElse(0);
  }

  /** Number of routes. */
  public int routeCount() {
    return routes.values().stream().mapToInt(Map::size).sum();
  }

  /**
   * The route of {@code host} with the longest prefix of {@code path}, which is given without
   * query.
   */
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
