package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.LoadReport;
import org.sageladder.core.placing.Placement.PlacementRequest;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.placing.TargetSignals;
import org.sageladder.core.placing.TargetState;

/**
 * One attempt to send a request to one target, until its response is complete, lost or abandoned.
 */
final class Attempt implements TargetConnection.Listener {
  /**
   * The target may be closing an idle connection without this VM knowing yet. Non-idempotent
   * requests only reuse a connection that was in use recently, since after a loss it is unknown
   * whether the target has run the request.
   */
  private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 3_000;

  /**
   * Clocks of two machines may differ by this much, the largest clock step that operators report.
   */
  private static final long MAX_CLOCK_SKEW_MILLIS = 2_000;

  /** Time for which an unreachable target is avoided if there is another. */
  private static final long AVOID_UNREACHABLE_MILLIS = 1_500;

  /**
   * Minimum time without any byte of a response before the target's reachability is checked: longer
   * than most runs, and early enough to try another target.
   */
  private static final long MIN_CHECK_DELAY_MILLIS = 1_000;

  /**
   * Minimum time without an answer before the end of a connection counts as lost contact. A target
   * that resets a connection sooner is there: it drops an answer or has too many connections.
   */
  private static final long MIN_SILENCE_MILLIS = 500;

  /** The check is delayed by at least this multiple of the estimated wait and run time. */
  private static final double CHECK_DELAY_FACTOR = 2;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final PlacementRequest placementRequest;
  private final Send decision;
  private final long startedAtMillis;
  private final long startedAtWallMillis;
  private @Nullable TargetConnection connection;
  private boolean isFinished;
  private boolean isSent;
  private @Nullable BufferedResponse response;
  private TargetSignals signals = TargetSignals.none();
  private Loop.@Nullable Timer reachabilityTimer;

  Attempt(Forwarder forwarder, Exchange exchange, PlacementRequest placementRequest, Send send) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.placementRequest = placementRequest;
    this.decision = send;
    this.startedAtMillis = forwarder.loop().nowMillis();
    this.startedAtWallMillis = forwarder.loop().wallMillis();
  }

  TargetState target() {
    return decision.target();
  }

  Send decision() {
    return decision;
  }

  /** True once bytes of the request may have reached the target. */
  boolean isSent() {
    return isSent;
  }

  long elapsedMillis() {
    return forwarder.loop().nowMillis() - startedAtMillis;
  }

  void start(boolean atMostOnce) {
    forwarder.attempts().add(this);
    forwarder.placement().recordSent(decision, startedAtMillis);
    forwarder
        .connectionPool()
        .acquire(
            target().facts(),
            atMostOnce ? MAX_IDLE_NON_IDEMPOTENT_MILLIS : Long.MAX_VALUE,
            this::onConnected,
            this::onConnectFailed,
            millis -> forwarder.roundTripTimes().recordConnect(target().facts().zone(), millis));
  }

  private void onConnected(TargetConnection opened) {
    if (isFinished) {
      forwarder.connectionPool().release(target().facts().incarnation(), opened);
      return;
    }
    if (!forwarder.targets().acceptsRequests(target(), forwarder.loop().nowMillis())) {
      forwarder.connectionPool().release(target().facts().incarnation(), opened);
      finish(true);
      exchange.onNotSent(this, "the target accepts no requests any more");
      return;
    }
    target().recordConnection(opened.openedAtMillis());
    connection = opened;
    isSent = true;
    opened.send(forwardedHead(), exchange.requestId(), this);
    exchange.body().writeTo(opened);
    exchange.updateReading();
    double estimateBasedMillis =
        CHECK_DELAY_FACTOR * (decision.expectedWaitMillis() + decision.expectedRunMillis());
    long delayMillis = Math.max(MIN_CHECK_DELAY_MILLIS, (long) estimateBasedMillis);
    reachabilityTimer = forwarder.loop().schedule(delayMillis, () -> checkReachability(opened));
  }

  private void checkReachability(TargetConnection used) {
    if (isFinished || used.hasResponseBytes()) {
      return;
    }
    ReachabilityCheck.start(
        forwarder.loop(), target().facts(), () -> onReachable(used), () -> onUnreachable(used));
  }

  private void onReachable(TargetConnection used) {
    if (!isFinished) {
      used.enableKeepAlive();
    }
  }

  private void onUnreachable(TargetConnection used) {
    if (isFinished || used.hasResponseBytes()) {
      return;
    }
    target().avoidUntil(forwarder.loop().nowMillis() + AVOID_UNREACHABLE_MILLIS);
    forwarder.onContactLost(target(), used.lastAliveMillis(), "unreachable");
    abandonAsLost(used, "the target is unreachable");
  }

  private void abandonAsLost(TargetConnection used, String cause) {
    used.abandon();
    finish(true);
    dropResponse();
    exchange.onLost(this, cause);
  }

  private HttpRequest forwardedHead() {
    HttpRequest from = exchange.head();
    HttpHeaders headers = ForwardedHeaders.of(from.headers());
    boolean chunked = HttpUtil.isTransferEncodingChunked(from);
    if (chunked) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    if (exchange.hidesApiKey()) {
      forwarder.dialect().replaceApiKey(headers, exchange.workspaceName());
    }
    forwarder
        .dialect()
        .addTargetHeaders(headers, target().facts().id(), exchange.remainingMillis());
    HttpRequest to =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
    HttpUtil.setTransferEncodingChunked(to, chunked);
    return to;
  }

  /** Writes the part of the request's body that was received since, or its end. */
  void writeMoreBody() {
    TargetConnection current = connection;
    if (!isFinished && current != null) {
      exchange.body().writeTo(current);
    }
  }

  /** False while the target does not accept more of the body. */
  boolean acceptsMoreBody() {
    TargetConnection current = connection;
    return current != null && current.isWritable();
  }

  /** Enables or disables reading, to apply backpressure to the target. */
  void setReading(boolean on) {
    TargetConnection current = connection;
    if (!isFinished && current != null) {
      current.setReading(on);
    }
  }

  private void onConnectFailed(String cause) {
    if (isFinished) {
      return;
    }
    finish(false);
    target().avoidUntil(forwarder.loop().nowMillis() + AVOID_UNREACHABLE_MILLIS);
    forwarder.onContactLost(target(), target().lastAnswerMillis(), cause);
    exchange.onNotSent(this, cause);
  }

  /** Abandons the attempt; the target cancels the request when its connection ends. */
  void abandon() {
    if (isFinished) {
      return;
    }
    finish(true);
    TargetConnection current = connection;
    if (current != null) {
      current.abandon();
    }
    dropResponse();
  }

  private void dropResponse() {
    BufferedResponse buffered = response;
    response = null;
    if (buffered != null) {
      buffered.release();
    }
  }

  /** Removes the attempt from its target's load and from the attempts in flight. */
  private void detach() {
    isFinished = true;
    Loop.Timer current = reachabilityTimer;
    if (current != null) {
      current.cancel();
    }
    forwarder.attempts().remove(this);
    target().endRequest();
  }

  /** Ends the attempt, and counts a failure of the target unless {@code neutral}. */
  private void finish(boolean neutral) {
    detach();
    if (!neutral) {
      target().recordOutcome(false, forwarder.loop().nowMillis());
    }
  }

  @Override
  public void onHead(HttpResponse head) {
    response = new BufferedResponse(head);
    Dialect dialect = forwarder.dialect();
    int status = head.status().code();
    signals = dialect.targetSignals(status, head.headers());
    if (!dialect.isMisdirected(status) && dialect.isAuthentic(status, head.headers())) {
      forwarder.onTargetSignals(target().facts(), signals);
      recordContact();
    }
  }

  private void recordContact() {
    TargetConnection used = connection;
    if (used != null) {
      forwarder.onContact(target(), used.openedAtMillis(), startedAtMillis);
    }
  }

  @Override
  public void onBodyBytes(ByteBuf bytes) {
    BufferedResponse buffered = response;
    if (isFinished || buffered == null) {
      bytes.release();
      return;
    }
    exchange.onResponseBytes(this, buffered, bytes);
  }

  @Override
  public void onComplete() {
    BufferedResponse buffered = response;
    TargetConnection used = connection;
    if (isFinished || buffered == null || used == null) {
      return;
    }
    response = null;
    long now = forwarder.loop().nowMillis();
    LoadReport load = signals.load();
    boolean notRun = forwarder.dialect().isNotRun(buffered.status(), buffered.headers());
    detach();
    if (load != null) {
      target().recordReport(load, now);
    }
    forwarder.connectionPool().release(target().facts().incarnation(), used);
    if (notRun) {
      recordRefusal(load, now);
      buffered.release();
      exchange.onNotRun(this, forwarder.dialect().isMisdirected(buffered.status()));
      return;
    }
    if (!forwarder.dialect().isAuthentic(buffered.status(), buffered.headers())) {
      target().recordOutcome(false, now);
      buffered.release();
      exchange.onLost(this, "the response was not created by the target or was altered");
      return;
    }
    if (buffered.status() < 500) {
      forwarder
          .placement()
          .recordAnswer(placementRequest, decision, (double) elapsedMillis(), load, now);
      exchange.crashEvidence().recordSuccess();
    } else {
      target().recordOutcome(false, now);
    }
    exchange.onComplete(this, buffered);
  }

  private void recordRefusal(@Nullable LoadReport load, long now) {
    // A target that asks for no requests for a time gets none: neither its load nor its failures
    // need to keep them away, and both would outlast that time.
    if (signals.backOffMillis() > 0) {
      return;
    }
    if (load == null) {
      int slots = target().facts().slots();
      target().recordReport(new LoadReport(slots, slots, slots), now);
      return;
    }
    // A target that refuses although it has free slots does so for another reason than its load.
    if (load.running() < load.slots()) {
      target().recordOutcome(false, now);
    }
  }

  /**
   * The target has restarted under the same id. A request sent to its previous incarnation is lost,
   * though the connection may stay open for seconds if that incarnation ended behind a network
   * partition. An attempt that began shortly before the restart, within the clock skew, may be
   * running at the new incarnation and continues.
   */
  void onTargetRestarted(TargetIncarnation newIncarnation) {
    boolean isAtPreviousIncarnation = target().facts().incarnation().isBefore(newIncarnation);
    if (isFinished
        || !isAtPreviousIncarnation
        || startedAtWallMillis >= newIncarnation.startedAtMillis() - MAX_CLOCK_SKEW_MILLIS) {
      return;
    }
    TargetConnection used = connection;
    if (used == null) {
      onConnectFailed("the target restarted");
      return;
    }
    abandonAsLost(used, "the target restarted");
  }

  @Override
  public void onLost(String cause) {
    if (isFinished) {
      return;
    }
    finish(false);
    dropResponse();
    TargetConnection used = connection;
    if (used != null && !used.hasResponseBytes()) {
      if (used.isEndedByPeer() && elapsedMillis() >= MIN_SILENCE_MILLIS) {
        forwarder.onContactLost(target(), used.lastAliveMillis(), cause);
      }
      exchange.crashEvidence().recordLoss(target().facts(), exchange.idAndCaller());
    }
    exchange.onLost(this, cause);
  }

  @Override
  public void onWritable() {
    exchange.updateReading();
  }
}
