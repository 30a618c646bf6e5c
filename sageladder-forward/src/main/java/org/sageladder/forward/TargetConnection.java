package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a target; carries one request at a time.
 *
 * <p>Guards against answers that belong to no request: a target may send a second answer after a
 * complete one, late, where the next answer is expected. An answer that names another request is
 * passed over, bytes that come while no request is out close the connection, and a connection on
 * which anything odd was seen is not used again.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;
  private static final int MAX_DISCARDED_RESPONSES = 3;
  private static final String KEEP_ALIVE_TIMEOUT_PARAMETER = "timeout=";

  /** What the request on this connection hears of it; nothing more after {@code ended} or lost. */
  interface Listener {
    /** The answer's head is there. */
    void onHead(HttpResponse answer);

    /** Bytes of the answer's body; the listener releases them. */
    void onBodyBytes(ByteBuf bytes);

    /** The answer is whole. */
    void onComplete();

    /** The connection is lost, or what came is no answer, before the answer was whole. */
    void onLost(String cause);

    /** More of the request may be written. */
    void onWritable();
  }

  private final Dialect dialect;
  private final long defaultIdleMillis;
  private @Nullable ChannelHandlerContext context;
  private @Nullable Listener listener;
  private @Nullable String requestId;
  private boolean isHeadRequest;
  private boolean isRequestComplete;
  private boolean hasResponseBytes;
  private boolean isDiscarding;
  private int discardedCount;
  private boolean isIntact = true;
  private boolean isKeepAliveEnabled;
  private long maxIdleMillis;
  private long idleSinceMillis;
  private @Nullable Runnable onIdleClose;

  TargetConnection(Dialect dialect, long idleMillisUntilTold) {
    this.dialect = dialect;
    this.defaultIdleMillis = idleMillisUntilTold;
    this.maxIdleMillis = idleMillisUntilTold;
  }

  /** Puts the codec and this connection into a new channel. */
  void install(ChannelPipeline pipeline) {
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxInitialLineLength(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES);
    pipeline.addLast(
        new HttpRequestEncoder(),
        new HttpResponseDecoder(config) {
          @Override
          protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return isHeadRequest || super.isContentAlwaysEmpty(message);
          }
        },
        this);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  private ChannelHandlerContext context() {
    ChannelHandlerContext known = context;
    if (known == null) {
      throw new IllegalStateException("the connection is in no channel yet");
    }
    return known;
  }

  /** True where it has been idle for less than {@code share} of the time the target keeps it. */
  boolean isIdleBelowFraction(long now, double share) {
    return context().channel().isActive() && now - idleSinceMillis < maxIdleMillis * share;
  }

  /** True where it has been idle for no longer than {@code millis}. */
  boolean isIdleAtMost(long now, long millis) {
    return now - idleSinceMillis <= millis;
  }

  /** Begins a request; more of its body may follow. */
  void send(HttpRequest head, String id, Listener to) {
    listener = to;
    requestId = id;
    isHeadRequest = head.method().equals(HttpMethod.HEAD);
    isRequestComplete = false;
    hasResponseBytes = false;
    discardedCount = 0;
    var unused = context().write(head);
  }

  /**
   * Lets the kernel end the connection where its probes get no answer, for the rest of this
   * request. It must not watch one on which a request is sent; see {@link ReachabilityCheck}.
   */
  void enableKeepAlive() {
    isKeepAliveEnabled = true;
    Sockets.enableKeepAlive(context().channel());
  }

  /** Writes bytes of the request's body, and takes them over. */
  void writeBody(ByteBuf bytes) {
    var unused = context().writeAndFlush(new DefaultHttpContent(bytes));
  }

  /** Ends the request. */
  void endRequest() {
    isRequestComplete = true;
    var unused = context().writeAndFlush(new DefaultLastHttpContent());
  }

  /** False where the target does not take more for now. */
  boolean isWritable() {
    return context().channel().isWritable();
  }

  /** Reads on, or leaves the target's bytes where they are. */
  void setReading(boolean on) {
    context().channel().config().setAutoRead(on);
  }

  /** True once any byte of an answer to the present request has come. */
  boolean hasResponseBytes() {
    return hasResponseBytes;
  }

  /** Ends the connection; the target drops what it is doing for it, and gets nothing more of it. */
  void abandon() {
    boolean withdrawn = listener != null;
    listener = null;
    isIntact = false;
    if (withdrawn) {
      Sockets.abort(context().channel());
    } else {
      Sockets.close(context());
    }
  }

  /** Keeps the connection for another request, until its end is told to {@code ended}. */
  void markIdle(long now, Runnable ended) {
    idleSinceMillis = now;
    onIdleClose = ended;
  }

  /** Takes the connection out of its idle state. */
  void markInUse() {
    onIdleClose = null;
  }

  /** True where the next request may be sent on it. */
  boolean isReusable() {
    return isIntact && !isKeepAliveEnabled && isRequestComplete && context().channel().isActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (listener == null) {
      ReferenceCountUtil.release(message);
      isIntact = false;
      Sockets.close(ctx);
      return;
    }
    hasResponseBytes = true;
    if (message instanceof HttpResponse answer) {
      onHead(answer);
    }
    if (message instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse answer) {
    if (answer.decoderResult().isFailure()) {
      fail("bytes that are no answer: " + answer.decoderResult().cause());
      return;
    }
    if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      isDiscarding = true;
      return;
    }
    String id = dialect.answeredRequestId(answer.headers());
    if (id != null && !id.equals(requestId)) {
      isDiscarding = true;
      isIntact = false;
      discardedCount++;
      if (discardedCount > MAX_DISCARDED_RESPONSES) {
        fail("answers to other requests");
      }
      return;
    }
    isDiscarding = false;
    if (!HttpUtil.isKeepAlive(answer)) {
      isIntact = false;
    }
    boolean framed =
        HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
    if (!framed && !isHeadRequest) {
      isIntact = false;
    }
    maxIdleMillis = parseIdleMillis(answer.headers().get("keep-alive"));
    Listener to = listener;
    if (to != null) {
      to.onHead(answer);
    }
  }

  private long parseIdleMillis(@Nullable String keepAlive) {
    if (keepAlive == null) {
      return defaultIdleMillis;
    }
    int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT_PARAMETER);
    if (at < 0) {
      return defaultIdleMillis;
    }
    int end = at + KEEP_ALIVE_TIMEOUT_PARAMETER.length();
    long seconds = 0;
    while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
      seconds = Math.min(3_600, seconds * 10 + keepAlive.charAt(end) - '0');
      end++;
    }
    return seconds * 1_000;
  }

  private void onContent(HttpContent content) {
    Listener to = listener;
    if (to == null || content.decoderResult().isFailure()) {
      content.release();
      if (to != null) {
        fail("a body that is no body: " + content.decoderResult().cause());
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

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // A reset ends an answer without length early; it must be lost before the decoder takes the
    // connection's end for the answer's.
    fail(String.valueOf(cause.getMessage()));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Runnable ended = onIdleClose;
    onIdleClose = null;
    if (ended != null) {
      ended.run();
    }
    fail("the target closed the connection");
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && ctx.channel().isWritable()) {
      listener.onWritable();
    }
  }
}
