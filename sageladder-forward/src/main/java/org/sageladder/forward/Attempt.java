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
import org.sageladder.core.placing.TargetState;

/** One sending of a request to one target, until its answer is whole, lost or abandoned. */
final class Attempt implements TargetConnection.Listener {
  /**
   * A kept connection may be closing unseen. What may not be repeated is sent only on one that was
   * used just now, since a loss after sending could not be told from a run.
   */
  private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 3_000;

  /** Clocks of two machines may differ by this much: the largest step that operators tell of. */
  private static final long MAX_CLOCK_SKEW_MILLIS = 2_000;

  /** A target that could not be reached is left alone for this long, unless there is no other. */
  private static final long AVOID_UNREACHABLE_MILLIS = 1_500;

  /**
   * Without any byte of an answer for this long, the way to the target is checked: longer than most
   * runs, and early enough for another target.
   */
  private static final long MIN_CHECK_DELAY_MILLIS = 1_000;

  /** And for this many times as long as was expected. */
  private static final double CHECK_DELAY_FACTOR = 2;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final PlacementRequest order;
  private final Send decision;
  private final long startedAtMillis;
  private final long startedAtWallMillis;
  private @Nullable TargetConnection connection;
  private boolean isFinished;
  private boolean isSent;
  private @Nullable BufferedResponse response;
  private Loop.@Nullable Timer reachabilityTimer;

  Attempt(Forwarder forwarder, Exchange exchange, PlacementRequest order, Send send) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.order = order;
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

  void start(boolean once) {
    forwarder.attempts().add(this);
    forwarder.placement().recordSent(decision, startedAtMillis);
    forwarder
        .connectionPool()
        .acquire(
            target().facts(),
            once ? MAX_IDLE_NON_IDEMPOTENT_MILLIS : Long.MAX_VALUE,
            this::onConnected,
            this::onConnectFailed,
            millis -> forwarder.distances().recordConnect(target().facts().zone(), millis));
  }

  private void onConnected(TargetConnection ready) {
    if (isFinished) {
      forwarder.connectionPool().release(target().facts().incarnation(), ready);
      return;
    }
    connection = ready;
    isSent = true;
    ready.send(forwardedHead(), exchange.requestId(), this);
    exchange.body().writeTo(ready);
    exchange.updateReading();
    double late =
        CHECK_DELAY_FACTOR * (decision.expectedWaitMillis() + decision.expectedRunMillis());
    long after = Math.max(MIN_CHECK_DELAY_MILLIS, (long) late);
    reachabilityTimer = forwarder.loop().schedule(after, () -> checkReachability(ready));
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
    abandonAsLost(used, "its target is cut off");
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

  /** More of the request's body has come, or its end. */
  void writeMoreBody() {
    TargetConnection known = connection;
    if (!isFinished && known != null) {
      exchange.body().writeTo(known);
    }
  }

  /** False where the target does not take more of the body for now. */
  boolean acceptsMoreBody() {
    TargetConnection known = connection;
    return known != null && known.isWritable();
  }

  /** Reads on, or lets the target wait. */
  void setReading(boolean on) {
    TargetConnection known = connection;
    if (!isFinished && known != null) {
      known.setReading(on);
    }
  }

  private void onConnectFailed(String cause) {
    if (isFinished) {
      return;
    }
    finish(false);
    target().avoidUntil(forwarder.loop().nowMillis() + AVOID_UNREACHABLE_MILLIS);
    exchange.onNotSent(this, cause);
  }

  /** Gives the attempt up; the target drops the request with the connection. */
  void abandon() {
    if (isFinished) {
      return;
    }
    finish(true);
    TargetConnection known = connection;
    if (known != null) {
      known.abandon();
    }
    dropResponse();
  }

  private void dropResponse() {
    BufferedResponse held = response;
    response = null;
    if (held != null) {
      held.release();
    }
  }

  /** Takes the attempt out of its target's load and of those in flight. */
  private void detach() {
    isFinished = true;
    Loop.Timer known = reachabilityTimer;
    if (known != null) {
      known.cancel();
    }
    forwarder.attempts().remove(this);
    target().endRequest();
  }

  private void finish(boolean neutral) {
    detach();
    if (!neutral) {
      target().recordOutcome(false, forwarder.loop().nowMillis());
    }
  }

  @Override
  public void onHead(HttpResponse head) {
    response = new BufferedResponse(head);
  }

  @Override
  public void onBodyBytes(ByteBuf bytes) {
    BufferedResponse held = response;
    if (isFinished || held == null) {
      bytes.release();
      return;
    }
    exchange.onResponseBytes(this, held, bytes);
  }

  @Override
  public void onComplete() {
    BufferedResponse held = response;
    TargetConnection used = connection;
    if (isFinished || held == null || used == null) {
      return;
    }
    response = null;
    long now = forwarder.loop().nowMillis();
    LoadReport load = forwarder.dialect().loadReport(held.headers());
    boolean notRun = forwarder.dialect().isNotRun(held.status(), held.headers());
    detach();
    if (load != null) {
      target().recordReport(load, now);
    }
    forwarder.connectionPool().release(target().facts().incarnation(), used);
    if (notRun) {
      recordRefusal(load, now);
      held.release();
      exchange.onNotRun(this, forwarder.dialect().isMisdirected(held.status()));
      return;
    }
    if (!forwarder.dialect().isAuthentic(held.status(), held.headers())) {
      target().recordOutcome(false, now);
      held.release();
      exchange.onLost(this, "an answer that the target did not make");
      return;
    }
    if (held.status() < 500) {
      forwarder.placement().recordAnswer(order, decision, (double) elapsedMillis(), load, now);
    } else {
      target().recordOutcome(false, now);
    }
    exchange.onComplete(this, held);
  }

  private void recordRefusal(@Nullable LoadReport load, long now) {
    if (load == null) {
      int slots = target().facts().slots();
      target().recordReport(new LoadReport(slots, slots, slots), now);
      return;
    }
    // A target that refuses with slots free does so for another reason than its load.
    if (load.running() < load.slots()) {
      target().recordOutcome(false, now);
    }
  }

  /**
   * The target has started again under its id. What was sent to its former start is lost with that,
   * though its connection may stay open for seconds where the target ended behind a cut. An attempt
   * that began shortly before the new start, by clocks that may differ, may be with the new one.
   */
  void onTargetRestarted(TargetIncarnation later) {
    boolean former = target().facts().incarnation().isBefore(later);
    if (isFinished
        || !former
        || startedAtWallMillis >= later.startedAtMillis() - MAX_CLOCK_SKEW_MILLIS) {
      return;
    }
    TargetConnection used = connection;
    if (used == null) {
      onConnectFailed("its target started again");
      return;
    }
    abandonAsLost(used, "its target started again");
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
      forwarder
          .crashDetector()
          .onRequestLost(target().facts(), exchange.fingerprint(), exchange.runsAtMostOnce());
    }
    exchange.onLost(this, cause);
  }

  @Override
  public void onWritable() {
    exchange.updateReading();
  }
}
