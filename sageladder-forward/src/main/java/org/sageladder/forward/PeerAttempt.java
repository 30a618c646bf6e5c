package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.sageladder.core.result.Outcome;
import org.sageladder.core.result.ResultCode;

/**
 * One attempt to have another entry VM serve a request.
 *
 * <p>The other VM chooses the target, sends the request to further targets if need be, and counts
 * it for its target limits; quota and retry ratio are counted here. It never passes the request on.
 */
final class PeerAttempt extends Attempt {
  /** Minimum time without any byte of a response before the other VM's reachability is checked. */
  private static final long CHECK_DELAY_MILLIS = 1_000;

  /** Refusals that concern only the VM that responded. */
  private static final Set<ResultCode> REFUSALS_OF_ONE_VM =
      EnumSet.of(
          ResultCode.UNKNOWN_ROUTE,
          ResultCode.API_KEY_UNKNOWN,
          ResultCode.NO_CONTRACT_IN_FORCE,
          ResultCode.STOPPING,
          ResultCode.RULES_OUT_OF_DATE,
          ResultCode.RELAY_UNAVAILABLE);

  private static final int BAD_GATEWAY = 502;

  private final RelayPeer peer;
  private final RelayHeader relayHeader;

  PeerAttempt(Forwarder forwarder, Exchange exchange, RelayPeer peer, RelayHeader relayHeader) {
    super(forwarder, exchange);
    this.peer = peer;
    this.relayHeader = relayHeader;
  }

  @Override
  void start(boolean atMostOnce) {
    forwarder().attempts().add(this);
    forwarder().relayPeers().recordStart(peer);
    forwarder().metrics().count("requests_relayed");
    TargetConnectionPool<RelayPeer> pool = forwarder().peerConnections();
    pool.acquire(
        peer,
        host(),
        port(),
        maxIdleMillis(pool, peer, atMostOnce),
        this::onConnected,
        this::onConnectFailed,
        millis -> {});
  }

  private void onConnected(TargetConnection opened) {
    if (isFinished()) {
      forwarder().peerConnections().release(peer, opened);
      return;
    }
    send(opened, CHECK_DELAY_MILLIS);
  }

  @Override
  void onConnectFailed(String cause) {
    if (isFinished()) {
      return;
    }
    detach();
    forwarder().relayPeers().recordUnreachable(peer, forwarder().loop().nowMillis());
    exchange().onPeerUnavailable(this, cause, 0);
  }

  @Override
  String peerId() {
    return peer.name();
  }

  @Override
  String describeEstimate() {
    return ", served by this entry VM, elapsed " + elapsedMillis() + " ms";
  }

  @Override
  String host() {
    return peer.host();
  }

  @Override
  int port() {
    return peer.port();
  }

  @Override
  void adaptHeaders(HttpHeaders headers) {
    forwarder().dialect().setDeadline(headers, exchange().remainingMillis());
    relayHeader.addTo(headers);
  }

  @Override
  void recordUnreachable(TargetConnection used) {
    forwarder().relayPeers().recordUnreachable(peer, forwarder().loop().nowMillis());
  }

  @Override
  void recordTimeout() {}

  @Override
  void beforeSendingAgain(Runnable sendAgain) {
    sendAgain.run();
  }

  @Override
  void onDetached() {
    forwarder().relayPeers().recordEnd(peer);
  }

  @Override
  public void onComplete() {
    TargetConnection used = connection();
    if (isFinished() || used == null) {
      return;
    }
    BufferedResponse buffered = takeResponse();
    if (buffered == null) {
      return;
    }
    detach();
    forwarder().peerConnections().release(peer, used);
    Optional<ResultCode> error = ErrorResponse.codeOf(buffered.headers());
    if (error.isPresent()) {
      onErrorResponse(error.get(), buffered);
      return;
    }
    if (!forwarder().dialect().isAuthentic(buffered.status(), buffered.headers())) {
      buffered.release();
      exchange().onLost(this, "the response was not created by a target or was altered");
      return;
    }
    exchange().onRelayed(this, buffered);
  }

  private void onErrorResponse(ResultCode code, BufferedResponse buffered) {
    if (REFUSALS_OF_ONE_VM.contains(code)) {
      buffered.release();
      boolean cannotServe = code == ResultCode.RELAY_UNAVAILABLE || code == ResultCode.STOPPING;
      if (cannotServe) {
        forwarder().relayPeers().recordRefusal(peer, forwarder().loop().nowMillis());
      }
      // Otherwise the VM has older rules, and can serve the request once it has newer ones.
      long retryAfterMillis = cannotServe ? 0 : Exchange.NO_RULES_RETRY_AFTER_MILLIS;
      exchange().onPeerUnavailable(this, code.name(), retryAfterMillis);
      return;
    }
    // A request that was quarantined after it may have run has another status than the code's own.
    boolean isNotRun = code.outcome() == Outcome.NOT_RUN && buffered.status() != BAD_GATEWAY;
    if (isNotRun) {
      exchange().onRelayedRefusal(this, code, buffered);
      return;
    }
    exchange().onRelayed(this, buffered);
  }

  @Override
  public void onLost(String cause) {
    if (isFinished()) {
      return;
    }
    detach();
    dropResponse();
    exchange().onLost(this, cause);
  }
}
