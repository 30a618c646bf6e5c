package org.sageladder.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the entry VM that serves a request when this one does not reach its targets: one of the
 * own zone, then of the own region, then any, and the one with the fewest requests from here.
 *
 * <pre>{@code
 * Optional<RelayPeer> peer = peers.choose(route::allows, Set.of(), now);
 * }</pre>
 */
final class RelayPeers {
  /** With more requests from here in flight at a VM, one farther away is used. */
  private static final int MAX_IN_FLIGHT_NEARBY = 8;

  /** Time for which a VM that refused a request is avoided. */
  private static final long AVOID_REFUSING_MILLIS = 1_000;

  /** Time for which a VM that accepted no connection is avoided; each try costs half a second. */
  private static final long AVOID_UNREACHABLE_MILLIS = 4_000;

  private final String zone;
  private final String region;
  private List<RelayPeer> peers = List.of();
  private final Map<String, Integer> inFlightByName = new HashMap<>();
  private final Map<String, Long> avoidUntilMillis = new HashMap<>();

  RelayPeers(String zone, String region) {
    this.zone = zone;
    this.region = region;
  }

  /** Replaces the list of the other live VMs. */
  void update(Collection<RelayPeer> others) {
    peers = List.copyOf(others);
    Set<String> names = Set.copyOf(peers.stream().map(RelayPeer::name).toList());
    avoidUntilMillis.keySet().retainAll(names);
  }

  /**
   * Records that a VM has written its registration. Its process may be a new one, which accepts
   * connections although the last one did not.
   */
  void recordRegistered(String name) {
    avoidUntilMillis.remove(name);
  }

  /** True if one of the VMs has that IP address. */
  boolean isListed(String host) {
    return peers.stream().anyMatch(peer -> peer.host().equals(host));
  }

  /**
   * The VM that is to serve a request.
   *
   * @param regions accepts the regions to which the request may be sent
   * @param tried names of VMs that must not be chosen again
   */
  Optional<RelayPeer> choose(Predicate<String> regions, Set<String> tried, long now) {
    return peers.stream()
        .filter(peer -> peer.reachesTargets() && !isAvoided(peer, now))
        .filter(peer -> regions.test(peer.region()) && !tried.contains(peer.name()))
        .min(
            Comparator.comparingInt(this::cost)
                .thenComparingInt(this::inFlight)
                .thenComparing(RelayPeer::name));
  }

  private boolean isAvoided(RelayPeer peer, long now) {
    return now < avoidUntilMillis.getOrDefault(peer.name(), Long.MIN_VALUE);
  }

  private int cost(RelayPeer peer) {
    return distance(peer) + inFlight(peer) / MAX_IN_FLIGHT_NEARBY;
  }

  private int distance(RelayPeer peer) {
    if (peer.zone().equals(zone)) {
      return 0;
    }
    return peer.region().equals(region) ? 1 : 2;
  }

  private int inFlight(RelayPeer peer) {
    return inFlightByName.getOrDefault(peer.name(), 0);
  }

  /** Avoids a VM for a while, since it could not serve a request. */
  void recordRefusal(RelayPeer peer, long now) {
    avoidUntilMillis.merge(peer.name(), now + AVOID_REFUSING_MILLIS, Math::max);
  }

  /** Avoids a VM for a while, since it could not be reached. */
  void recordUnreachable(RelayPeer peer, long now) {
    avoidUntilMillis.merge(peer.name(), now + AVOID_UNREACHABLE_MILLIS, Math::max);
  }

  void recordStart(RelayPeer peer) {
    inFlightByName.merge(peer.name(), 1, Integer::sum);
  }

  void recordEnd(RelayPeer peer) {
    inFlightByName.computeIfPresent(peer.name(), (name, count) -> count > 1 ? count - 1 : null);
  }
}
