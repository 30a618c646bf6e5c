package org.sageladder.standin.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Sockets;

/** An HTTP port of a stand-in that receives complete requests and answers them asynchronously. */
public final class ServerPort {
  private static final int MAX_REQUEST_BODY_BYTES = 8 << 20;

  /** Called when a port is open. */
  public interface OpenListener {
    /** Called with the number of the open port. */
    void onOpen(int port);

    /** Returns a listener that does nothing. */
    static OpenListener ignored() {
      return port -> {};
    }
  }

  /** Handles requests. */
  @FunctionalInterface
  interface Handler {
    /** Handles a complete request, which is released after the call. */
    void handle(FullHttpRequest request, Exchange exchange);
  }

  private ServerPort() {}

  static void open(Loop loop, String host, int port, Handler handler, OpenListener onOpen) {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(),
                    new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
                    new RequestHandler(handler));
          }
        };
    loop.listen(host, port, initializer)
        .addListener(
            (ChannelFuture result) -> {
              if (!result.isSuccess()) {
                throw new IllegalStateException(
                    "cannot listen on " + host + ':' + port, result.cause());
              }
              boolean isSocket = result.channel().localAddress() instanceof InetSocketAddress;
              onOpen.onOpen(
                  isSocket
                      ? ((InetSocketAddress) result.channel().localAddress()).getPort()
                      : port);
            });
  }

  /** A request's connection, used to answer it. */
  static final class Exchange {
    private final ChannelHandlerContext context;
    private @Nullable Runnable onDisconnect;

    Exchange(ChannelHandlerContext context) {
      this.context = context;
    }

    /** Returns the IP address of the sender. */
    String callerIp() {
      return ((InetSocketAddress) context.channel().remoteAddress()).getAddress().getHostAddress();
    }

    boolean isOpen() {
      return context.channel().isActive();
    }

    /** Bytes of no request that are still to be sent on the connection. */
    ExtraBytes extra() {
      return ExtraBytes.of(context.channel());
    }

    private void writeExtra(ExtraBytes.Moment moment) {
      byte[] due = extra().take(moment);
      if (due.length > 0) {
        var unused = context.channel().pipeline().firstContext().write(Unpooled.wrappedBuffer(due));
      }
    }

    /** Sets an action that runs once if the connection closes before the answer. */
    void setOnDisconnect(Runnable callback) {
      onDisconnect = callback;
    }

    void notifyDisconnected() {
      Runnable callback = onDisconnect;
      onDisconnect = null;
      if (callback != null) {
        callback.run();
      }
    }

    /** Answers with a Content-Length and closes the connection only if the headers ask for it. */
    void answer(int status, Map<String, String> headers, byte[] body) {
      onDisconnect = null;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(body));
      headers.forEach((name, value) -> response.headers().set(name, value));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      writeExtra(ExtraBytes.Moment.BEFORE_NEXT_ANSWER);
      var written = context.write(response);
      writeExtra(ExtraBytes.Moment.BEHIND_NEXT_ANSWER);
      context.flush();
      if ("close".equals(headers.get("Connection"))) {
        var unused = written.addListener(done -> Sockets.close(context));
      }
    }

    /** Writes an answer past the codec, between the extra bytes that are due with it. */
    void writeRawAnswer(byte[] answer) {
      byte[] before = extra().take(ExtraBytes.Moment.BEFORE_NEXT_ANSWER);
      byte[] behind = extra().take(ExtraBytes.Moment.BEHIND_NEXT_ANSWER);
      onDisconnect = null;
      var unused =
          context
              .channel()
              .pipeline()
              .firstContext()
              .writeAndFlush(Unpooled.wrappedBuffer(before, answer, behind));
    }

    /** Writes raw bytes past the codec, as a faulty server would send them. */
    void writeRaw(byte[] bytes, boolean closesAfterwards) {
      onDisconnect = null;
      ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
      var written = context.channel().pipeline().firstContext().writeAndFlush(buffer);
      if (closesAfterwards) {
        var unused = written.addListener(done -> Sockets.close(context));
      }
    }

    /** Stops reading from this connection. */
    void stopReading() {
      context.channel().config().setAutoRead(false);
    }

    /** Resets the connection. */
    void reset() {
      onDisconnect = null;
      if (context.channel().localAddress() instanceof InetSocketAddress) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      }
      Sockets.close(context);
    }
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Handler handler;
    private @Nullable Exchange lastExchange;

    RequestHandler(Handler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Exchange exchange = new Exchange(ctx);
      lastExchange = exchange;
      exchange.writeExtra(ExtraBytes.Moment.AFTER_NEXT_REQUEST);
      ctx.flush();
      handler.handle(request, exchange);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      Exchange current = lastExchange;
      if (current != null) {
        current.notifyDisconnected();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Sockets.close(ctx);
    }
  }
}
