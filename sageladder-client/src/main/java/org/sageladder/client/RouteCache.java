package org.sageladder.client;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.time.TimeSource;

/**
 * Answers to look-ups until their time to live is over; the least recently used go first.
 *
 * <p>Safe for use by several threads; one lock guards everything.
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

  /** The route, where it is still to be used. */
  synchronized Optional<Route> findUnexpired(Key key) {
    CachedRoute kept = routes.get(key);
    boolean usable = kept != null && kept.expiresAtNanos() - time.nanos() > 0;
    return usable ? Optional.of(kept.route()) : Optional.empty();
  }

  /** The route even past its time, for when no entry VM answers a look-up. */
  synchronized Optional<Route> findIncludingExpired(Key key) {
    return Optional.ofNullable(routes.get(key)).map(CachedRoute::route);
  }

  /**
   * Ends the time of all routes that send to {@code leaving} first; they stay as a last resort.
   *
   * <p>Without this an entry VM that stops has to wait until all look-ups that name it have expired
   * in all callers.
   */
  synchronized void expireRoutesTo(EntryAddress drainingEntry) {
    long now = time.nanos();
    routes.replaceAll(
        (key, kept) ->
            kept.route().entries().get(0).equals(drainingEntry)
                ? new CachedRoute(kept.route(), now)
                : kept);
  }
}
