package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a target or to another entry VM; carries one request at a time.
 *
 * <p>Guards against responses that belong to no request: a target may send a second response after
 * a complete one, late, where the next response is expected, or a part of one. A response with the
 * id of another request is discarded, bytes received while no request is in flight close the
 * connection before they are decoded, and a connection with any irregularity is not reused.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_DISCARDED_RESPONSES = 3;

  /** A target sends few interim responses to one request. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  /**
   * Receives the events of the request in flight; none after {@code onComplete} or {@code onLost}.
   */
  interface Listener {
    /** The response's head was received. */
    void onHead(HttpResponse response);

    /** Bytes of the response's body; the listener releases them. */
    void onBodyBytes(ByteBuf bytes);

    /** A response to another request has begun and is discarded; this request's may follow it. */
    void onOtherResponse();

    /** The response is complete. */
    void onComplete();

    /** The connection was lost or the response was malformed before it was complete. */
    void onLost(String cause);

    /** More of the request may be written. */
    void onWritable();
  }

  /** Receives what is discarded, for logs and metrics. */
  @FunctionalInterface
  interface DiscardListener {
    /**
     * Received bytes were discarded.
     *
     * @param answeredId id of the request that they answer, or empty if unknown
     */
    void onDiscarded(TargetConnection from, DiscardedResponse.Reason reason, String answeredId);

    /** A listener that does nothing. */
    static DiscardListener none() {
      return (from, reason, answeredId) -> {};
    }
  }

  private final Dialect dialect;
  private final long defaultIdleMillis;
  private final DiscardListener discardListener;
  private final ReceivedBytes receivedBytes =
      new ReceivedBytes(this::isRequestInFlight, this::onUnsolicitedBytes);
  private final ChannelFutureListener writeListener = this::onWritten;
  private @Nullable ChannelHandlerContext context;
  private @Nullable Listener listener;
  private @Nullable String requestId;
  private int requestCount;
  private boolean isHeadRequest;
  private final ResponseDecoder decoder = new ResponseDecoder(() -> isHeadRequest);
  private boolean isRequestComplete;
  private long maxBodyBytes;
  private long writtenBodyBytes;
  private boolean hasResponseBytes;
  private boolean isDiscarding;
  private int discardedCount;
  private int informationalCount;
  private boolean isIntact = true;
  private boolean isKeepAliveEnabled;
  private long maxIdleMillis;
  private long idleSinceMillis;
  private long openedAtMillis;
  private long lastAliveMillis;
  private boolean isEndedByPeer;
  private @Nullable Runnable onIdleClose;

  TargetConnection(Dialect dialect, long defaultIdleMillis, DiscardListener discardListener) {
    this.dialect = dialect;
    this.defaultIdleMillis = defaultIdleMillis;
    this.discardListener = discardListener;
    this.maxIdleMillis = defaultIdleMillis;
  }

  /** Adds the codec and this handler to the pipeline of a new channel. */
  void install(ChannelPipeline pipeline) {
    pipeline.addLast(receivedBytes, new HttpRequestEncoder(), decoder, this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  private ChannelHandlerContext context() {
    ChannelHandlerContext current = context;
    if (current == null) {
      throw new IllegalStateException("the connection is not in a channel yet");
    }
    return current;
  }

  /** Reads what was received while the connection was idle; such bytes close it. */
  void readReceived() {
    Sockets.readReceived(context().channel());
  }

  /**
   * True if the connection is active and has been idle for less than {@code fraction} of the time
   * for which the target keeps idle connections.
   */
  boolean isIdleBelowFraction(long now, double fraction) {
    return context().channel().isActive() && now - idleSinceMillis < maxIdleMillis * fraction;
  }

  /** True if it has been idle for at most {@code millis}. */
  boolean isIdleAtMost(long now, long millis) {
    return now - idleSinceMillis <= millis;
  }

  /** Records when the connection was opened. */
  void markOpened(long now) {
    openedAtMillis = now;
    lastAliveMillis = now;
  }

  /** When the connection was opened. */
  long openedAtMillis() {
    return openedAtMillis;
  }

  /** When the target last completed an answer on this connection, or accepted it. */
  long lastAliveMillis() {
    return lastAliveMillis;
  }

  /** True if the target or the network ended the connection. */
  boolean isEndedByPeer() {
    return isEndedByPeer;
  }

  /** Sends the head of a request; its body may follow. */
  void send(HttpRequest head, String id, Listener to) {
    listener = to;
    requestId = id;
    requestCount++;
    isHeadRequest = head.method().equals(HttpMethod.HEAD);
    isRequestComplete = false;
    maxBodyBytes = announcedBodyBytes(head);
    writtenBodyBytes = 0;
    hasResponseBytes = false;
    discardedCount = 0;
    informationalCount = 0;
    var unused = context().write(head, newWritePromise());
  }

  /** Length of the body by the head; the maximum if it is sent in chunks. */
  private static long announcedBodyBytes(HttpRequest head) {
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return Long.MAX_VALUE;
    }
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    return length == null ? 0 : Long.parseLong(length);
  }

  /**
   * Enables keep-alive probes, so that the kernel ends the connection if the target does not answer
   * them. With a request in flight, this must be called only after a new connection has reached the
   * target; see {@link ReachabilityCheck}. The connection is not reused afterwards.
   */
  void enableKeepAlive() {
    isKeepAliveEnabled = true;
    Sockets.enableKeepAlive(context().channel());
  }

  /**
   * Writes bytes of the request's body and takes ownership of them. The request is lost if its head
   * announces fewer, since the peer would take the rest for another request.
   */
  void writeBody(ByteBuf bytes) {
    writtenBodyBytes += bytes.readableBytes();
    if (writtenBodyBytes > maxBodyBytes) {
      bytes.release();
      fail("the body is longer than the " + maxBodyBytes + " bytes that the head announces");
      return;
    }
    var unused = context().writeAndFlush(new DefaultHttpContent(bytes), newWritePromise());
  }

  /**
   * Ends the request, whose body has {@code bodyBytes} in all. The request is lost if fewer were
   * written, since the peer would take them for the whole body.
   */
  void endRequest(long bodyBytes) {
    boolean isShort = maxBodyBytes != Long.MAX_VALUE && writtenBodyBytes < maxBodyBytes;
    if (writtenBodyBytes != bodyBytes || isShort) {
      fail("only " + writtenBodyBytes + " bytes of the body were written");
      return;
    }
    isRequestComplete = true;
    var unused = context().writeAndFlush(new DefaultLastHttpContent(), newWritePromise());
  }

  /** False while the target does not accept more bytes. */
  boolean isWritable() {
    return context().channel().isWritable();
  }

  /** Bytes that were written and that the kernel has not taken yet. */
  long unwrittenBytes() {
    return Sockets.unwrittenBytes(context().channel());
  }

  /** Enables or disables reading, to apply backpressure to the target. */
  void setReading(boolean on) {
    context().channel().config().setAutoRead(on);
  }

  /** True once any byte was received that may be of the response to the current request. */
  boolean hasResponseBytes() {
    return hasResponseBytes;
  }

  /** True if more bytes were received together with the end of the previous response. */
  boolean hasBytesBehindResponse() {
    return listener == null && receivedBytes.count() > 0;
  }

  /** True while the end of an interim response, or of one to another request, is due. */
  boolean isDiscarding() {
    return isDiscarding;
  }

  /** Number of bytes received since the previous request was answered. */
  long receivedByteCount() {
    return receivedBytes.count();
  }

  /**
   * Closes the connection, with a reset if a request is in flight: the target cancels that request
   * and receives nothing more of it.
   */
  void abandon() {
    boolean isInFlight = listener != null;
    listener = null;
    isIntact = false;
    if (isInFlight) {
      Sockets.abort(context().channel());
    } else {
      Sockets.close(context());
    }
  }

  /** Marks the connection as idle; {@code closeListener} is called if it ends while idle. */
  void markIdle(long now, Runnable closeListener) {
    // A response that was held back for its caller may have ended while reading was off.
    setReading(true);
    idleSinceMillis = now;
    lastAliveMillis = now;
    onIdleClose = closeListener;
  }

  /** Marks the connection as in use again. */
  void markInUse() {
    onIdleClose = null;
  }

  /** True if another request may be sent on this connection. */
  boolean isReusable() {
    return isIntact && !isKeepAliveEnabled && isRequestComplete && context().channel().isActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (listener == null) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpResponse response) {
      onHead(response);
    }
    if (message instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse response) {
    String fault = ResponseHeadValidator.findFault(response);
    if (fault != null) {
      hasResponseBytes = true;
      recordDiscard(DiscardedResponse.Reason.MALFORMED, "");
      fail("malformed response: " + fault);
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      hasResponseBytes = true;
      onInterimHead();
      return;
    }
    String id = dialect.answeredRequestId(response.headers());
    if (mayAnswerCurrentRequest(id)) {
      hasResponseBytes = true;
      onOwnHead(response);
    } else {
      onOtherHead(id == null ? "" : id);
    }
  }

  private void onInterimHead() {
    isDiscarding = true;
    informationalCount++;
    if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      fail("too many interim responses");
    }
  }

  private void onOtherHead(String id) {
    recordDiscard(DiscardedResponse.Reason.OTHER_REQUEST, id);
    isDiscarding = true;
    isIntact = false;
    discardedCount++;
    if (discardedCount > MAX_DISCARDED_RESPONSES) {
      fail("responses to other requests");
      return;
    }
    Listener to = listener;
    if (to != null) {
      to.onOtherResponse();
    }
  }

  private void onOwnHead(HttpResponse response) {
    isDiscarding = false;
    boolean hasLength =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    boolean endsWithConnection = !hasLength && !decoder.isWithoutBody(response);
    if (endsWithConnection || !HttpUtil.isKeepAlive(response)) {
      isIntact = false;
    }
    maxIdleMillis = KeepAliveTimeout.millis(response.headers(), defaultIdleMillis);
    Listener to = listener;
    if (to != null) {
      to.onHead(response);
    }
  }

  private void recordDiscard(DiscardedResponse.Reason reason, String answeredId) {
    discardListener.onDiscarded(this, reason, answeredId);
  }

  /**
   * True if a response with this id, or null, may belong to the request in flight. Without an id it
   * may be a late second response to any request that the connection has carried.
   */
  private boolean mayAnswerCurrentRequest(@Nullable String id) {
    return id == null ? !hasCarriedOtherRequests() : id.equals(requestId);
  }

  /** True if the request in flight is not the first one on this connection. */
  boolean hasCarriedOtherRequests() {
    return requestCount > 1;
  }

  private boolean isRequestInFlight() {
    return listener != null;
  }

  /** Bytes were received that belong to no request: whatever follows them cannot be trusted. */
  private void onUnsolicitedBytes() {
    recordDiscard(DiscardedResponse.Reason.UNSOLICITED, "");
    isIntact = false;
    Sockets.close(context());
  }

  /** Id of the request in flight, or empty. */
  String requestIdInFlight() {
    String id = requestId;
    return listener == null || id == null ? "" : id;
  }

  /** What the connection has carried and received, for log lines. */
  String describe(long now) {
    return "request "
        + requestCount
        + " on a connection opened "
        + (now - openedAtMillis)
        + " ms ago, "
        + receivedBytes.count()
        + " bytes received since the previous response: "
        + receivedBytes.quote();
  }

  private void onContent(HttpContent content) {
    Listener to = listener;
    if (to == null || content.decoderResult().isFailure()) {
      content.release();
      if (to != null) {
        fail("malformed response body: " + content.decoderResult().cause());
      }
      return;
    }
    if (isDiscarding) {
      content.release();
      if (content instanceof LastHttpContent) {
        isDiscarding = false;
      }
      return;
    }
    if (content.content().isReadable()) {
      to.onBodyBytes(content.content());
    } else {
      content.release();
    }
    if (content instanceof LastHttpContent && listener == to) {
      listener = null;
      receivedBytes.restartWith(decoder.undecodedBytes());
      if (receivedBytes.count() > 0) {
        onUnsolicitedBytes();
      }
      to.onComplete();
    }
  }

  private void fail(String cause) {
    Listener to = listener;
    abandon();
    if (to != null) {
      to.onLost(cause);
    }
  }

  /** Returns a promise that reports a failure before the end of the connection is reported. */
  private ChannelPromise newWritePromise() {
    return context().newPromise().addListener(writeListener);
  }

  private void onWritten(ChannelFuture write) {
    if (!write.isSuccess() && listener != null) {
      onConnectionLost(write.cause());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    onConnectionLost(cause);
  }

  /**
   * A read or a write has failed, which cuts off a response without length. The response counts as
   * lost before the decoder takes the end of the connection for the end of the response.
   */
  private void onConnectionLost(Throwable cause) {
    isEndedByPeer = true;
    String message = cause.getMessage();
    fail(message == null ? cause.toString() : message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Runnable closeListener = onIdleClose;
    onIdleClose = null;
    if (closeListener != null) {
      closeListener.run();
    }
    isEndedByPeer = true;
    fail("the target closed the connection");
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && ctx.channel().isWritable()) {
      listener.onWritable();
    }
  }
}
