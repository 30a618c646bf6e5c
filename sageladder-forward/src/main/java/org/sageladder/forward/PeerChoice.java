package org.sageladder.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.routing.RoutingRules;

/** Decides whether one request is served by another entry VM, and by which. */
final class PeerChoice {
  /** A request that this many targets did not accept is better served elsewhere. */
  private static final int MAX_UNREACHED_TARGETS = 2;

  private static final int MAX_PEERS = 3;

  private final Forwarder forwarder;
  private final boolean isRelayed;
  private final Set<String> tried = new HashSet<>();

  /**
   * Creates the choice for one request.
   *
   * @param isRelayed true if another entry VM passed it on; it is not passed on again
   */
  PeerChoice(Forwarder forwarder, boolean isRelayed) {
    this.forwarder = forwarder;
    this.isRelayed = isRelayed;
  }

  /** True if this VM does not seem to reach the targets of the service. */
  boolean isPreferred(String service, AttemptLimit limit) {
    return forwarder.reachability().isLost(service)
        || limit.unreachedCount() >= MAX_UNREACHED_TARGETS;
  }

  /**
   * True if {@code decision} is to use a target that was just out of reach, or to refuse because
   * targets that were out of reach may have restarted.
   */
  boolean isPreferred(PlacementDecision decision, String service) {
    long now = forwarder.loop().nowMillis();
    if (decision instanceof PlacementDecision.Send send) {
      return send.target().isAvoided(now);
    }
    return ((PlacementDecision.Refuse) decision).reason() == Reason.ALL_COLD
        && forwarder.reachability().wasLostRecently(service, now);
  }

  /**
   * The attempt to have the next VM serve the request; empty if there is none that may get it.
   *
   * @param sendCount number of attempts that may have reached a target so far
   */
  Optional<PeerAttempt> next(Exchange exchange, PlacementRequest request, int sendCount) {
    RoutingRules rules = forwarder.rules();
    if (isRelayed || tried.size() >= MAX_PEERS || rules == null) {
      return Optional.empty();
    }
    Optional<RelayPeer> chosen =
        forwarder.relayPeers().choose(request::allowsRegion, tried, forwarder.loop().nowMillis());
    chosen.ifPresent(peer -> tried.add(peer.name()));
    RelayHeader header = new RelayHeader(rules.version(), sendCount, request.service());
    return chosen.map(peer -> new PeerAttempt(forwarder, exchange, peer, header));
  }
}
