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
import org.sageladder.standin.network.SimulatedAddress;

/** An HTTP port of a stand-in; requests come whole, answers are given when the stand-in likes. */
public final class ServerPort {
  private static final int MAX_REQUEST_BODY_BYTES = 8 << 20;

  /** Told how the opening of a port ended. */
  public interface OpenListener {
    /** It is open, at that port. */
    void onOpen(int port);

    /** Nothing is to be told. */
    static OpenListener ignored() {
      return port -> {};
    }
  }

  /** Takes requests. */
  @FunctionalInterface
  interface Handler {
    /** A request has come; it is given back after the call. */
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
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                throw new IllegalStateException("cannot open " + host + ':' + port, done.cause());
              }
              boolean real = done.channel().localAddress() instanceof InetSocketAddress;
              onOpen.onOpen(
                  real ? ((InetSocketAddress) done.channel().localAddress()).getPort() : port);
            });
  }

  /** One request and the connection that it came on. */
  static final class Exchange {
    private final ChannelHandlerContext context;
    private @Nullable Runnable onDisconnect;

    Exchange(ChannelHandlerContext context) {
      this.context = context;
    }

    /** IP number of whoever called. */
    String callerIp() {
      if (context.channel().remoteAddress() instanceof SimulatedAddress simulated) {
        return simulated.ip();
      }
      return ((InetSocketAddress) context.channel().remoteAddress()).getAddress().getHostAddress();
    }

    boolean isOpen() {
      return context.channel().isActive();
    }

    /** Told once if the connection ends before the answer. */
    void setOnDisconnect(Runnable callback) {
      onDisconnect = callback;
    }

    void notifyDisconnected() {
      Runnable told = onDisconnect;
      onDisconnect = null;
      if (told != null) {
        told.run();
      }
    }

    /** Answers with a length, and keeps the connection unless the headers say otherwise. */
    void answer(int status, Map<String, String> headers, byte[] body) {
      onDisconnect = null;
      DefaultFullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(body));
      headers.forEach((name, value) -> answer.headers().set(name, value));
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      var written = context.writeAndFlush(answer);
      if ("close".equals(headers.get("Connection"))) {
        var unused = written.addListener(done -> Sockets.close(context));
      }
    }

    /** Writes bytes as they are, past the codec, as a faulty server does. */
    void writeRaw(byte[] bytes, boolean closesAfterwards) {
      onDisconnect = null;
      ByteBuf buffer = Unpooled.wrappedBuffer(bytes);
      var written = context.channel().pipeline().firstContext().writeAndFlush(buffer);
      if (closesAfterwards) {
        var unused = written.addListener(done -> Sockets.close(context));
      }
    }

    /** Reads and answers nothing on this connection any more. */
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
      handler.handle(request, exchange);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      Exchange known = lastExchange;
      if (known != null) {
        known.notifyDisconnected();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Sockets.close(ctx);
    }
  }
}
