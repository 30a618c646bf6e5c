package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.result.ResultCode;
import org.sageladder.core.routing.CallerLimits;

/**
 * One connection of a caller; answers its requests in the order in which they came.
 *
 * <p>A caller may send further requests before the first is answered. They run side by side where
 * they may be repeated, and their answers wait for their turn. Behind an answer that closes the
 * connection nothing is read any more: such requests count as not read, and callers send them
 * again.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Requests of one connection at once; beyond, the connection is not read until some ended. */
  private static final int MOST_AT_ONCE = 16;

  /** Time for a caller to read an answer that came before its body was sent. */
  private static final long LINGER_MILLIS = 1_000;

  private static final int MOST_CHUNK_BYTES = 32 << 10;

  private final Forwarder forwarder;
  private final Deque<Exchange> exchanges = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable Exchange receiving;
  private boolean closing;
  private long headSince;
  private long quietSince;

  CallerConnection(Forwarder forwarder) {
    this.forwarder = forwarder;
    this.quietSince = forwarder.loop().now();
  }

  void install(ChannelPipeline pipeline) {
    CallerLimits limits = forwarder.callerLimits();
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeadBytes())
            .setMaxHeaderSize(limits.maxHeadBytes())
            .setMaxChunkSize(MOST_CHUNK_BYTES);
    pipeline.addLast(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            arrived();
            ctx.fireChannelRead(bytes);
          }
        },
        new HttpRequestDecoder(config),
        new HttpResponseEncoder(),
        this);
  }

  private void arrived() {
    if (receiving == null && headSince == 0) {
      headSince = forwarder.loop().now();
    }
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

  /** The caller's IP number. */
  String callerHost() {
    return context().channel().remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "";
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      unreadable(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest head) {
      headSince = 0;
      Exchange exchange = new Exchange(forwarder, this, head);
      receiving = exchange;
      exchanges.addLast(exchange);
      exchange.begin(exchanges.peekFirst() == exchange);
    }
    if (part instanceof HttpContent content) {
      content(content);
    }
    ctx.channel().config().setAutoRead(readsOn());
  }

  private void content(HttpContent content) {
    Exchange exchange = receiving;
    boolean last = content instanceof LastHttpContent;
    if (last) {
      receiving = null;
    }
    if (exchange == null) {
      content.release();
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      exchange.bodyBytes(bytes);
    } else {
      content.release();
    }
    if (last) {
      exchange.bodyEnd();
    }
  }

  private boolean readsOn() {
    return exchanges.size() < MOST_AT_ONCE && (receiving == null || receiving.takesMore());
  }

  /** Looks again whether the caller may send more. */
  void readOn() {
    if (context().channel().isActive()) {
      context().channel().config().setAutoRead(readsOn());
    }
  }

  /** Answers a request that cannot be read, behind the answers that are due before it. */
  private void unreadable(@Nullable Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    // Not the message: it quotes what could not be read, which may be a line with an API key.
    forwarder.note("unreadable", cause == null ? "" : cause.getClass().getSimpleName());
    refuseAndClose(tooLong ? ResultCode.HEAD_TOO_LARGE : ResultCode.MALFORMED_REQUEST);
  }

  private void refuseAndClose(ResultCode code) {
    receiving = null;
    headSince = 0;
    Exchange exchange = Exchange.unreadable(forwarder, this);
    exchanges.addLast(exchange);
    exchange.refuseUnread(code);
  }

  /** True where the answer of {@code exchange} may be written now. */
  boolean isTurnOf(Exchange exchange) {
    return exchanges.peekFirst() == exchange;
  }

  /**
   * True where no request came behind {@code exchange}. One that came may be at a target already,
   * and an answer that closes the connection before it would lose it.
   */
  boolean isLast(Exchange exchange) {
    return exchanges.peekLast() == exchange;
  }

  /** True where the caller takes more bytes. */
  boolean isWritable() {
    return context().channel().isWritable();
  }

  /** Writes a part of the answer whose turn it is. */
  void write(Object part) {
    var unused = context().write(part);
  }

  void flush() {
    context().flush();
  }

  /** Ends the answer whose turn it is, and goes on with the next. */
  void ended(Exchange exchange, boolean close) {
    flush();
    exchanges.remove(exchange);
    quietSince = forwarder.loop().now();
    if (close) {
      closeAfterAnswers(receiving == exchange);
      return;
    }
    Exchange next = exchanges.peekFirst();
    if (next != null) {
      next.turn();
    }
    readOn();
  }

  /**
   * Closes the connection once all is written. Where the caller is still sending a body, its bytes
   * are read and dropped for a while: a close with unread bytes would reset the connection, and the
   * caller would lose the answer that it has not read yet.
   */
  private void closeAfterAnswers(boolean bodyComes) {
    closing = true;
    var written = context().writeAndFlush(context().alloc().buffer(0));
    if (bodyComes && context().channel() instanceof SocketChannel socket) {
      socket.config().setAutoRead(true);
      written.addListener(done -> endOutput(socket));
      var unused = forwarder.loop().after(LINGER_MILLIS, () -> Sockets.close(context()));
      return;
    }
    written.addListener(done -> Sockets.close(context()));
  }

  private static void endOutput(SocketChannel socket) {
    var unused = socket.shutdownOutput();
  }

  /** Breaks the connection off, so that what was sent of an answer does not look complete. */
  void breakOff() {
    closing = true;
    Sockets.close(context());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Exchange first = exchanges.peekFirst();
    if (first != null && ctx.channel().isWritable()) {
      first.callerWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    forwarder.closed(this);
    while (!exchanges.isEmpty()) {
      exchanges.removeFirst().callerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    forwarder.note("caller connection failed", String.valueOf(cause.getMessage()));
    Sockets.close(ctx);
  }

  /** Ends what takes too long: a head that does not come, a connection without requests. */
  void sweep(long now, CallerLimits limits) {
    if (closing) {
      return;
    }
    if (headSince != 0 && now - headSince > limits.headTimeoutMillis()) {
      refuseAndClose(ResultCode.HEAD_TOO_SLOW);
      return;
    }
    boolean quiet = exchanges.isEmpty() && headSince == 0;
    if (quiet && now - quietSince > limits.idleTimeoutMillis()) {
      breakOff();
    }
  }

  /** Closes the connection if it has no request; true where it does. */
  boolean closeIfQuiet() {
    if (exchanges.isEmpty() && headSince == 0) {
      breakOff();
      return true;
    }
    return false;
  }
}
