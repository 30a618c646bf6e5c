package org.sageladder.standin.platform;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.forward.Loop;

/** A caller's HTTP connection with support for pipelined requests. */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private static final int MAX_RESPONSE_BODY_BYTES = 4 << 20;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  /** The outcome of a request on this connection. */
  sealed interface Reply {
    /** A complete answer. */
    record Complete(int status, HttpHeaders headers, String body) implements Reply {}

    /** The connection closed before a complete answer. */
    record Failed(String cause) implements Reply {}

    /** What was received is no answer by the protocol. */
    record Malformed(String cause) implements Reply {}
  }

  private final Deque<Consumer<Reply>> pendingCallbacks = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private boolean isClosing;

  static void open(
      Loop loop,
      String host,
      int port,
      int connectTimeoutMillis,
      Consumer<CallerConnection> onOpen,
      Consumer<String> onFailure) {
    CallerConnection connection = new CallerConnection();
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpClientCodec(),
                    new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES),
                    connection);
          }
        };
    loop.connect(host, port, connectTimeoutMillis, initializer)
        .addListener(
            (ChannelFuture result) -> {
              if (result.isSuccess()) {
                onOpen.accept(connection);
              } else {
                onFailure.accept(String.valueOf(result.cause().getMessage()));
              }
            });
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  private ChannelHandlerContext requireContext() {
    ChannelHandlerContext current = context;
    if (current == null) {
      throw new IllegalStateException("the connection has no channel yet");
    }
    return current;
  }

  boolean isUsable() {
    return !isClosing && pendingCallbacks.isEmpty() && requireContext().channel().isActive();
  }

  void send(
      String method,
      String path,
      Map<String, String> headers,
      String body,
      Consumer<Reply> onReply) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    headers.forEach((name, value) -> request.headers().set(name, value));
    if (!body.isEmpty()) {
      HttpUtil.setContentLength(request, request.content().readableBytes());
    }
    pendingCallbacks.addLast(onReply);
    var unused = requireContext().writeAndFlush(request);
  }

  /**
   * Sends a request as text in pieces, each {@code pauseMillis} after the one before. Pieces that
   * are due after the connection has closed are dropped.
   */
  void sendPieces(List<String> pieces, long pauseMillis, Consumer<Reply> onReply) {
    pendingCallbacks.addLast(onReply);
    for (int i = 0; i < pieces.size(); i++) {
      String piece = pieces.get(i);
      var unused =
          requireContext()
              .executor()
              .schedule(() -> writeText(piece), i * pauseMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void writeText(String text) {
    ChannelPipeline pipeline = requireContext().pipeline();
    if (requireContext().channel().isActive()) {
      // The first handler writes past the encoder, which accepts only whole messages.
      var unused =
          pipeline
              .firstContext()
              .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }
  }

  /** Closes the connection without calling the callbacks of pending requests. */
  void abandon() {
    isClosing = true;
    pendingCallbacks.clear();
    var unused = requireContext().close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    Consumer<Reply> callback = pendingCallbacks.pollFirst();
    if (!HttpUtil.isKeepAlive(response)) {
      isClosing = true;
    }
    Reply reply = toReply(response);
    if (callback == null || !(reply instanceof Reply.Complete)) {
      isClosing = true;
      var unused = ctx.close();
    }
    if (callback != null) {
      callback.accept(reply);
    }
  }

  private static Reply toReply(FullHttpResponse response) {
    Throwable cause = response.decoderResult().cause();
    if (cause instanceof PrematureChannelClosureException) {
      return new Reply.Failed("connection closed within an answer");
    }
    if (cause != null) {
      return new Reply.Malformed(cause.toString());
    }
    int status = response.status().code();
    if (status < MIN_STATUS || status > MAX_STATUS) {
      return new Reply.Malformed("status " + status);
    }
    return new Reply.Complete(
        status, response.headers().copy(), response.content().toString(StandardCharsets.UTF_8));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    isClosing = true;
    while (!pendingCallbacks.isEmpty()) {
      pendingCallbacks.removeFirst().accept(new Reply.Failed("connection closed"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    isClosing = true;
    var unused = ctx.close();
  }
}
