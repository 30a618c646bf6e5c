package org.sageladder.client;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.time.TimeSource;

/**
 * Caches routes for their time to live; evicts the least recently used ones first.
 *
 * <p>Thread-safe; one lock guards all state.
 */
final class RouteCache {
  private static final int MAX_ROUTES = 10_000;

  private final TimeSource time;
  private final Map<Key, CachedRoute> routes = new LinkedHashMap<>(16, 0.75f, true);

  private RouteCache(TimeSource time) {
    this.time = time;
  }

  static RouteCache create(TimeSource time) {
    return new RouteCache(time);
  }

  record Key(String contract, String service, int block) {}

  private record CachedRoute(Route route, long expiresAtNanos) {}

  synchronized void put(Key key, Route route) {
    long ttlNanos = TimeUnit.MILLISECONDS.toNanos(route.ttlMillis());
    routes.put(key, new CachedRoute(route, time.nanos() + ttlNanos));
    if (routes.size() > MAX_ROUTES) {
      routes.remove(routes.keySet().iterator().next());
    }
  }

  /** Returns the route unless its time to live has passed. */
  synchronized Optional<Route> findUnexpired(Key key) {
    CachedRoute cached = routes.get(key);
    boolean usable = cached != null && cached.expiresAtNanos() - time.nanos() > 0;
    return usable ? Optional.of(cached.route()) : Optional.empty();
  }

  /** Returns the route even if it has expired, for use when no entry VM answers a look-up. */
  synchronized Optional<Route> findIncludingExpired(Key key) {
    return Optional.ofNullable(routes.get(key)).map(CachedRoute::route);
  }

  /**
   * Expires all routes whose preferred entry VM is {@code drainingEntry}; they remain available to
   * {@link #findIncludingExpired}.
   *
   * <p>Otherwise an entry VM that stops would have to wait until every cached route to it has
   * expired at every caller.
   */
  synchronized void expireRoutesTo(EntryAddress drainingEntry) {
    long now = time.nanos();
    routes.replaceAll(
        (key, cached) ->
            cached.route().entries().get(0).equals(drainingEntry)
                ? new CachedRoute(cached.route(), now)
                : cached);
  }
}
