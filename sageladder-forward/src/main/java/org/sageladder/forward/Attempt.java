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

/**
 * One attempt to send a request to a target or to another entry VM, until its response is complete,
 * lost or abandoned.
 */
abstract sealed class Attempt implements TargetConnection.Listener
    permits TargetAttempt, PeerAttempt {
  /**
   * The peer may be closing an idle connection without this VM knowing yet. Non-idempotent requests
   * only reuse a connection that was in use recently, since after a loss it is unknown whether the
   * request has run.
   */
  private static final long MAX_IDLE_NON_IDEMPOTENT_MILLIS = 3_000;

  /** Longer than pauses within a response that is being sent. */
  private static final long MAX_PAUSE_OF_OTHER_RESPONSE_MILLIS = 500;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final long startedAtMillis;
  private @Nullable TargetConnection connection;
  private boolean isFinished;
  private boolean isSent;
  private @Nullable BufferedResponse response;
  private Loop.@Nullable Timer reachabilityTimer;

  Attempt(Forwarder forwarder, Exchange exchange) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.startedAtMillis = forwarder.loop().nowMillis();
  }

  /** Begins to send the request. */
  abstract void start(boolean atMostOnce);

  /** Id of the target or name of the entry VM, for log lines. */
  abstract String peerId();

  /** What was expected of the attempt, for log lines. */
  abstract String describeEstimate();

  /** Records that there was no response before the deadline of the request. */
  abstract void recordTimeout();

  /** Runs {@code sendAgain} once the request may be sent again after it was lost here. */
  abstract void beforeSendingAgain(Runnable sendAgain);

  /** Host and port for a check whether the peer is reachable. */
  abstract String host();

  abstract int port();

  /** Adds the headers that the peer needs, and removes those that it must not get. */
  abstract void adaptHeaders(HttpHeaders headers);

  /** Records that the peer cannot be reached any more. */
  abstract void recordUnreachable(TargetConnection used);

  /** Called when this attempt has ended, whatever its result. */
  abstract void onDetached();

  /** Called if no connection could be opened. */
  abstract void onConnectFailed(String cause);

  Forwarder forwarder() {
    return forwarder;
  }

  Exchange exchange() {
    return exchange;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  boolean isFinished() {
    return isFinished;
  }

  @Nullable TargetConnection connection() {
    return connection;
  }

  @Nullable BufferedResponse response() {
    return response;
  }

  /** True once bytes of the request may have reached the peer. */
  boolean isSent() {
    return isSent;
  }

  long elapsedMillis() {
    return forwarder.loop().nowMillis() - startedAtMillis;
  }

  /** Maximum idle time of a connection to {@code peer} that the request may reuse. */
  static <K> long maxIdleMillis(TargetConnectionPool<K> pool, K peer, boolean atMostOnce) {
    return atMostOnce
        ? pool.maxIdleMillisNonIdempotent(peer, MAX_IDLE_NON_IDEMPOTENT_MILLIS)
        : Long.MAX_VALUE;
  }

  /**
   * Sends the request on a connection.
   *
   * @param checkDelayMillis time without any byte of a response before the peer's reachability is
   *     checked
   */
  void send(TargetConnection opened, long checkDelayMillis) {
    connection = opened;
    isSent = true;
    opened.send(forwardedHead(), exchange.requestId(), this);
    exchange.body().writeTo(opened);
    exchange.updateReading();
    reachabilityTimer = forwarder.loop().schedule(checkDelayMillis, this::checkReachability);
  }

  /** Checks whether the peer is reachable, unless a byte of the response was received. */
  void checkReachability() {
    TargetConnection used = connection;
    if (isFinished || used == null || used.hasResponseBytes()) {
      return;
    }
    ReachabilityCheck.start(
        forwarder.loop(), host(), port(), () -> onReachable(used), () -> onUnreachable(used));
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
    recordUnreachable(used);
    abandonAsLost(used, "unreachable: no new connection was accepted");
  }

  /** Ends the attempt as lost. */
  void abandonAsLost(TargetConnection used, String cause) {
    used.abandon();
    detach();
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
    adaptHeaders(headers);
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

  /** False while the peer does not accept more of the body. */
  boolean acceptsMoreBody() {
    TargetConnection current = connection;
    return current != null && current.isWritable();
  }

  /** Enables or disables reading, to apply backpressure to the peer. */
  void setReading(boolean on) {
    TargetConnection current = connection;
    if (!isFinished && current != null) {
      current.setReading(on);
    }
  }

  /** Bytes of heap that the response occupies, and what the peer has not read of the request. */
  long heldBytes() {
    TargetConnection current = connection;
    BufferedResponse buffered = response;
    long requestBytes = isFinished || current == null ? 0 : current.unwrittenBytes();
    return requestBytes + (buffered == null ? 0 : buffered.heldBytes());
  }

  /** Abandons the attempt; the peer cancels the request when its connection ends. */
  void abandon() {
    if (isFinished) {
      return;
    }
    detach();
    TargetConnection current = connection;
    if (current != null) {
      current.abandon();
    }
    dropResponse();
  }

  /** Releases what was received of the response. */
  void dropResponse() {
    BufferedResponse buffered = response;
    response = null;
    if (buffered != null) {
      buffered.release();
    }
  }

  /** Takes the response, which the caller of this method releases or delivers. */
  @Nullable BufferedResponse takeResponse() {
    BufferedResponse taken = response;
    response = null;
    return taken;
  }

  /** Ends the attempt. */
  void detach() {
    isFinished = true;
    Loop.Timer current = reachabilityTimer;
    if (current != null) {
      current.cancel();
    }
    forwarder.attempts().remove(this);
    onDetached();
  }

  @Override
  public void onHead(HttpResponse head) {
    response = new BufferedResponse(head, forwarder.responseMemory());
  }

  /**
   * Watches a response to another request. If it was truncated, the rest of its announced length is
   * taken from this request's response, which is then lost. An idempotent request is sent elsewhere
   * without waiting for its deadline; for others there is nothing to gain.
   */
  @Override
  public void onOtherResponse() {
    TargetConnection used = connection;
    if (used != null && !exchange.runsAtMostOnce()) {
      checkOtherResponseLater(used, used.receivedByteCount());
    }
  }

  private void checkOtherResponseLater(TargetConnection used, long receivedBefore) {
    var unused =
        forwarder
            .loop()
            .schedule(
                MAX_PAUSE_OF_OTHER_RESPONSE_MILLIS, () -> checkOtherResponse(used, receivedBefore));
  }

  private void checkOtherResponse(TargetConnection used, long receivedBefore) {
    if (isFinished || !used.isDiscarding()) {
      return;
    }
    if (used.receivedByteCount() > receivedBefore) {
      checkOtherResponseLater(used, used.receivedByteCount());
      return;
    }
    abandonAsLost(used, "a response to another request does not end");
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
  public void onWritable() {
    exchange.updateReading();
  }
}
