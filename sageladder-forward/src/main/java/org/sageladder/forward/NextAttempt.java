package org.sageladder.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.ServiceRule;

/**
 * Chooses where one request is sent next: to a target, or to another entry VM if this one does not
 * reach the targets.
 */
final class NextAttempt {
  private static final long NO_RETRY_AFTER = -1;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final boolean isRelayed;
  private final PeerChoice peerChoice;
  private final Set<String> triedTargetIds = new HashSet<>();

  /** The result of a choice. */
  sealed interface Choice {
    /** The request is sent. */
    record Send(Attempt attempt) implements Choice {}

    /** The request is sent nowhere. */
    record Refuse(ResultCode code, long retryAfterMillis, String reason) implements Choice {}
  }

  /**
   * Creates the choices of one request.
   *
   * @param isRelayed true if another entry VM has sent the request
   */
  NextAttempt(Forwarder forwarder, Exchange exchange, boolean isRelayed) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.isRelayed = isRelayed;
    this.peerChoice = new PeerChoice(forwarder, isRelayed);
  }

  /** Chooses the next attempt. */
  Choice choose(PlacementRequest request, AttemptLimit limit) {
    String service = request.service();
    if (isRelayed && forwarder.reachability().isLost(service)) {
      return new Choice.Refuse(ResultCode.RELAY_UNAVAILABLE, NO_RETRY_AFTER, "no target reachable");
    }
    if (peerChoice.isPreferred(service, limit)) {
      Optional<PeerAttempt> atPeer = atPeer(request, limit);
      if (atPeer.isPresent()) {
        return new Choice.Send(atPeer.get());
      }
    }
    RoutingRules rules = forwarder.rules();
    ServiceRule rule = rules == null ? null : rules.service(service).orElse(null);
    PlacementDecision decision =
        forwarder.placement().place(request, rule, triedTargetIds, forwarder.loop().nowMillis());
    if (peerChoice.isPreferred(decision, service)) {
      Optional<PeerAttempt> atPeer = atPeer(request, limit);
      if (atPeer.isPresent()) {
        return new Choice.Send(atPeer.get());
      }
    }
    return decision instanceof PlacementDecision.Send send
        ? atTarget(request, send)
        : refuse((PlacementDecision.Refuse) decision, request);
  }

  private Optional<PeerAttempt> atPeer(PlacementRequest request, AttemptLimit limit) {
    return peerChoice.next(exchange, request, limit.sendCount());
  }

  private Choice atTarget(PlacementRequest request, PlacementDecision.Send send) {
    double estimatedMillis = send.expectedWaitMillis() + send.expectedRunMillis();
    if (!forwarder.shutdown().permits(request.remainingMillis(), estimatedMillis)) {
      return new Choice.Refuse(
          ResultCode.STOPPING, Shutdown.RETRY_AFTER_MILLIS, Shutdown.REFUSAL_REASON);
    }
    triedTargetIds.add(send.target().facts().id());
    return new Choice.Send(new TargetAttempt(forwarder, exchange, request, send));
  }

  private Choice refuse(PlacementDecision.Refuse refuse, PlacementRequest request) {
    String reason = forwarder.requestLog().recordRefusal(refuse, request.remainingMillis());
    return new Choice.Refuse(ResultCode.NO_TARGET, refuse.retryAfterMillis(), reason);
  }
}
