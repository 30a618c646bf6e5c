package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.CallerLimits;

/**
 * One connection of a caller; answers its requests in the order in which they arrived.
 *
 * <p>A caller may pipeline requests. Idempotent ones are sent to targets concurrently, and their
 * responses wait for their turn. Nothing is read after a response that closes the connection: later
 * requests count as not read, and callers send them again.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements HeldMemory.Holder {
  /** With this many requests in flight, the connection is not read until one of them has ended. */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Time for a caller to read the last response and close the connection. */
  private static final long LINGER_MILLIS = 1_000;

  /** Bytes that a caller may still send after the last response. */
  private static final long MAX_DISCARDED_BYTES = 4 << 20;

  private static final int MAX_CHUNK_BYTES = 32 << 10;

  /** Room for the headers that another entry VM adds to a head of the maximum size. */
  private static final int RELAY_HEADER_BYTES = 4 << 10;

  private static final long NEVER = Long.MAX_VALUE;

  /** Heap of a connection without requests: its channel, its pipeline and their buffers. */
  private static final long CONNECTION_BYTES = 6 << 10;

  /** Stands for bytes that are not a request; its exchange only sends an error response. */
  private static final HttpRequest NO_REQUEST =
      new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");

  /** Time for the first request of a new connection to arrive, from callers in any region. */
  private static final long FIRST_REQUEST_MILLIS = 300;

  private final Forwarder forwarder;
  private final CallerConnections connections;
  private final boolean isPeer;
  private final Deque<Exchange> exchanges = new ArrayDeque<>();
  private final HeldMemory.Share share;
  private @Nullable ChannelHandlerContext context;
  private @Nullable RequestDecoder decoder;
  private @Nullable Exchange receivingExchange;
  private boolean isClosing;
  private boolean isPassingTurn;
  private boolean hasReceivedBytes;
  private boolean hasHadRequest;
  private boolean isLastRequestReceived;
  private boolean isClosingCounted;
  private boolean isLingering;
  private long discardedBytes;
  private long headStartedAtMillis;
  private long idleSinceMillis;
  private long lastReceivedMillis;
  private long unreadSinceMillis = NEVER;

  /**
   * Creates the handler of a new connection.
   *
   * @param isPeer true if the port is for other entry VMs
   */
  CallerConnection(Forwarder forwarder, boolean isPeer) {
    this.forwarder = forwarder;
    this.connections = forwarder.callerConnections();
    this.isPeer = isPeer;
    this.idleSinceMillis = forwarder.loop().nowMillis();
    this.lastReceivedMillis = idleSinceMillis;
    this.share = forwarder.heldMemory().open(this);
    share.set(CONNECTION_BYTES);
  }

  void install(ChannelPipeline pipeline) {
    int maxHeadBytes = forwarder.callerLimits().maxHeadBytes() + (isPeer ? RELAY_HEADER_BYTES : 0);
    RequestDecoder newDecoder = new RequestDecoder(maxHeadBytes, MAX_CHUNK_BYTES);
    decoder = newDecoder;
    pipeline.addLast(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (isLingering) {
              discard((ByteBuf) bytes);
              return;
            }
            onBytesReceived();
            ctx.fireChannelRead(bytes);
          }
        },
        newDecoder,
        new HttpResponseEncoder(),
        this);
  }

  /** Closes the channel of a connection that is not accepted. */
  void refuse(Channel channel) {
    share.close();
    Sockets.close(channel);
  }

  private void discard(ByteBuf bytes) {
    discardedBytes += bytes.readableBytes();
    bytes.release();
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      Sockets.close(context());
    }
  }

  private void onBytesReceived() {
    hasReceivedBytes = true;
    lastReceivedMillis = forwarder.loop().nowMillis();
    if (receivingExchange == null && headStartedAtMillis == 0 && !isLastRequestReceived) {
      headStartedAtMillis = lastReceivedMillis;
    }
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

  /** True if another entry VM sends requests of its callers on this connection. */
  boolean isPeer() {
    return isPeer;
  }

  /** IP address of the caller. */
  String callerAddress() {
    return context().channel().remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "";
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    boolean isBehindLast = isLastRequestReceived && receivingExchange == null;
    if (isClosing || isBehindLast || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseMalformed(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest head) {
      headStartedAtMillis = 0;
      hasHadRequest = true;
      isLastRequestReceived = !HttpUtil.isKeepAlive(head);
      Exchange exchange = new Exchange(forwarder, this, head);
      receivingExchange = exchange;
      exchanges.addLast(exchange);
      exchange.start(exchanges.peekFirst() == exchange);
    }
    if (part instanceof HttpContent content) {
      onContent(content);
    }
    ctx.channel().config().setAutoRead(canReadMore());
  }

  private void onContent(HttpContent content) {
    Exchange exchange = receivingExchange;
    boolean last = content instanceof LastHttpContent;
    if (last) {
      receivingExchange = null;
    }
    if (exchange == null) {
      content.release();
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      exchange.onBodyBytes(bytes);
    } else {
      content.release();
    }
    if (last) {
      exchange.onBodyEnd();
    }
  }

  /** Passes on the part of a body that one read has received, however many chunks it had. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    Exchange receiving = receivingExchange;
    if (receiving != null) {
      receiving.onBodyReceived();
    }
    updateReading();
    updateHeld();
    forwarder.heldMemory().relieve();
  }

  /** Updates the account of the memory that the connection and its requests hold. */
  void updateHeld() {
    RequestDecoder current = decoder;
    long bytes = CONNECTION_BYTES + (current == null ? 0 : current.heldBytes());
    for (Exchange exchange : exchanges) {
      bytes += exchange.heldBytes();
    }
    share.set(bytes + Sockets.unwrittenBytes(context().channel()));
  }

  @Override
  public long waitingSinceMillis() {
    boolean isRead = context().channel().config().isAutoRead();
    if (isRead && (receivingExchange != null || headStartedAtMillis != 0)) {
      return lastReceivedMillis;
    }
    return exchanges.isEmpty() ? idleSinceMillis : unreadSinceMillis;
  }

  /**
   * Refuses a request that no target has run and that can be answered now, and ends the connection;
   * in any other state ends it at once. Callers send again what was behind that request.
   */
  @Override
  public void evict() {
    forwarder.metrics().count("connections_evicted");
    forwarder.logCallerFailure("closed", "held " + share.bytes() + " bytes, memory is short");
    while (exchanges.size() > 1) {
      exchanges.removeLast().onCallerClosed();
    }
    receivingExchange = null;
    Exchange first = exchanges.peekFirst();
    if (isClosing || first == null || !first.refuseUnsent()) {
      closeNow();
      share.close();
      return;
    }
    RequestDecoder current = decoder;
    if (current != null) {
      current.discard();
    }
    updateHeld();
  }

  /** False while a body has no room, or a further request would add to unread responses. */
  private boolean canReadMore() {
    Exchange receiving = receivingExchange;
    return exchanges.size() < MAX_PIPELINED_REQUESTS
        && (receiving == null ? isWritable() : receiving.acceptsMoreBody());
  }

  /** Updates whether more bytes are read from the caller. */
  void updateReading() {
    Channel channel = context().channel();
    if (isClosing || !channel.isActive()) {
      return;
    }
    boolean wasReading = channel.config().isAutoRead();
    boolean isReading = canReadMore();
    channel.config().setAutoRead(isReading);
    if (!wasReading && isReading && headStartedAtMillis != 0) {
      headStartedAtMillis = forwarder.loop().nowMillis();
    }
    RequestDecoder current = decoder;
    if (isReading && current != null) {
      current.resume();
    }
  }

  /** Refuses a request that cannot be parsed, after the responses that are due before it. */
  private void refuseMalformed(@Nullable Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    // Without the exception message, which quotes the unparsable input and thus may contain an API
    // key.
    forwarder.logCallerFailure("unreadable", cause == null ? "" : cause.getClass().getSimpleName());
    ResultCode code = tooLong ? ResultCode.HEAD_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
    Exchange receiving = receivingExchange;
    if (receiving == null) {
      refuseAndClose(code);
      return;
    }
    receivingExchange = null;
    isLastRequestReceived = true;
    receiving.refuseBody(code);
  }

  private void refuseAndClose(ResultCode code) {
    receivingExchange = null;
    headStartedAtMillis = 0;
    Exchange exchange = new Exchange(forwarder, this, NO_REQUEST);
    exchanges.addLast(exchange);
    exchange.refuseAndClose(code);
  }

  /**
   * True if the response of {@code exchange} may be written now: those before it are written, and
   * the caller has read enough of them.
   */
  boolean isDue(Exchange exchange) {
    return exchanges.peekFirst() == exchange && isWritable();
  }

  /**
   * True if no request arrived after {@code exchange}. A later one may already be in flight at a
   * target, and its response would be lost if an earlier response closed the connection.
   */
  boolean isLast(Exchange exchange) {
    return exchanges.peekLast() == exchange;
  }

  /** True while the caller accepts more bytes. */
  boolean isWritable() {
    return context().channel().isWritable();
  }

  /** Writes a part of the response that is due. */
  void write(Object part) {
    var unused = context().write(part);
  }

  /** Asks the caller to send the body of its request. */
  void writeContinue() {
    write(
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    flush();
  }

  /** Writes bytes of a response's body, which count as buffered until the kernel has them. */
  void writeBody(ByteBuf bytes) {
    ResponseMemory memory = forwarder.responseMemory();
    int count = bytes.readableBytes();
    memory.add(count);
    var unused =
        context()
            .write(new DefaultHttpContent(bytes))
            .addListener(
                done -> {
                  memory.remove(count);
                  recordReadByCaller();
                  updateHeld();
                });
  }

  private void recordReadByCaller() {
    if (unreadSinceMillis != NEVER) {
      unreadSinceMillis = forwarder.loop().nowMillis();
    }
  }

  void flush() {
    context().flush();
  }

  /** Ends the response that is due and continues with the next request. */
  void onExchangeEnded(Exchange exchange, boolean close) {
    exchanges.remove(exchange);
    idleSinceMillis = forwarder.loop().nowMillis();
    if (close) {
      closeAfterFlush();
      return;
    }
    passTurn();
  }

  /**
   * Gives the turn to the next request, and to those behind it whose responses are ready. A request
   * that ends in its turn calls this again; the call under way goes on, so that the depth of calls
   * does not grow with the number of requests that a caller pipelines.
   */
  private void passTurn() {
    if (isPassingTurn) {
      return;
    }
    isPassingTurn = true;
    try {
      Exchange previous = null;
      Exchange next = exchanges.peekFirst();
      while (next != null && next != previous && !isClosing && isWritable()) {
        next.onTurn();
        previous = next;
        next = exchanges.peekFirst();
      }
    } finally {
      isPassingTurn = false;
    }
    if (!isClosing) {
      flush();
      updateReading();
    }
    updateHeld();
  }

  /**
   * Closes the connection once everything is written. What the caller still sends, such as the rest
   * of a refused head or body, is read and discarded until the caller closes the connection, for a
   * limited time: closing with unread bytes would reset the connection, and the caller could lose
   * the response that it has not read yet.
   */
  private void closeAfterFlush() {
    markClosing();
    if (context().channel() instanceof SocketChannel socket && connections.mayLinger()) {
      isLingering = true;
      connections.lingeringStarted();
      socket.config().setAutoRead(true);
      flushLast().addListener(done -> linger(socket));
      return;
    }
    flushLast().addListener(done -> Sockets.close(context()));
  }

  private void markClosing() {
    isClosing = true;
    isClosingCounted = true;
    connections.closingStarted();
  }

  /** Flushes what was written before; the result is complete once all of it is written. */
  private ChannelFuture flushLast() {
    return context().writeAndFlush(context().alloc().buffer(0));
  }

  private void linger(SocketChannel socket) {
    var unusedResult = socket.shutdownOutput();
    var unusedTimer = forwarder.loop().schedule(LINGER_MILLIS, () -> Sockets.close(context()));
  }

  /** Closes the connection of a caller that does not read its responses. */
  void closeSlowReader() {
    forwarder.metrics().count("slow_readers_closed");
    forwarder.logCallerFailure("closed", "its responses were not read");
    unreadSinceMillis = NEVER;
    closeNow();
  }

  /** Closes the connection at once, so that a partial response does not look complete. */
  void closeNow() {
    isClosing = true;
    Sockets.close(context());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable()) {
      unreadSinceMillis = NEVER;
      passTurn();
      return;
    }
    unreadSinceMillis = forwarder.loop().nowMillis();
    updateReading();
    updateHeld();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (isClosingCounted) {
      connections.closingEnded();
    }
    isClosing = true;
    if (isLingering) {
      connections.lingeringEnded();
    }
    connections.remove(this);
    share.close();
    while (!exchanges.isEmpty()) {
      exchanges.removeFirst().onCallerClosed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    forwarder.logCallerFailure("caller connection failed", String.valueOf(cause.getMessage()));
    Sockets.close(ctx);
  }

  /**
   * Closes the connection if a request head takes too long or the connection is idle for too long.
   */
  void sweep(long now, CallerLimits limits) {
    if (unreadSinceMillis != NEVER && now - unreadSinceMillis > limits.idleTimeoutMillis()) {
      closeSlowReader();
      return;
    }
    if (isClosing) {
      closeUnread(now, limits);
      return;
    }
    if (!isHeadTooSlow(now, limits) && !isIdleTooLong(now, limits)) {
      return;
    }
    Sockets.readReceived(context().channel());
    if (isClosing) {
      return;
    }
    if (isHeadTooSlow(now, limits)) {
      refuseAndClose(ResultCode.HEAD_TOO_SLOW);
    } else if (isIdleTooLong(now, limits)) {
      closeNow();
    }
  }

  private boolean isHeadTooSlow(long now, CallerLimits limits) {
    return headStartedAtMillis != 0
        && context().channel().config().isAutoRead()
        && now - headStartedAtMillis > limits.headTimeoutMillis();
  }

  private boolean isIdleTooLong(long now, CallerLimits limits) {
    return isWithoutRequest() && now - idleSinceMillis > limits.idleTimeoutMillis();
  }

  /** True if no request is being received or answered; a part of a head may be here. */
  boolean isIdle() {
    return !isClosing && exchanges.isEmpty();
  }

  /** True once the head of a request was received. */
  boolean hasHadRequest() {
    return hasHadRequest;
  }

  private boolean isWithoutRequest() {
    return exchanges.isEmpty() && headStartedAtMillis == 0;
  }

  /** Closes the connection of a caller that does not read its last response. */
  private void closeUnread(long now, CallerLimits limits) {
    if (isClosingCounted && now - idleSinceMillis > limits.idleTimeoutMillis()) {
      closeNow();
    }
  }

  /** Ends all requests as the VM stops, in their order. */
  void abandonRequests() {
    List.copyOf(exchanges).forEach(Exchange::onShutdownEnd);
  }

  /** True if a part of a request's head was received, or the first request may be on its way. */
  boolean expectsRequest() {
    return !isClosing && (headStartedAtMillis != 0 || isNew());
  }

  private boolean isNew() {
    return !hasReceivedBytes
        && forwarder.loop().nowMillis() - idleSinceMillis < FIRST_REQUEST_MILLIS;
  }

  /** Closes the connection, once its responses are written, if it has no request. */
  void closeIfIdle() {
    if (isClosing || !isWithoutRequest()) {
      return;
    }
    Sockets.readReceived(context().channel());
    if (isClosing || !isWithoutRequest() || isNew()) {
      return;
    }
    markClosing();
    flushLast().addListener(done -> Sockets.close(context()));
  }
}
