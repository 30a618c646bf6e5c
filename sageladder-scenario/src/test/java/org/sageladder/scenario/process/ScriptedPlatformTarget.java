package org.sageladder.scenario.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Sockets;

/**
 * A target whose responses depend on the path: {@code /slow/} is never answered, {@code /heads/}
 * with thousands of headers, {@code /large/} with a large body, all others with {@code ok}.
 */
final class ScriptedPlatformTarget {
  private static final int MAX_HEAD_BYTES = 128 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;
  private static final int RESPONSE_HEADERS = 3_000;
  private static final int LARGE_BODY_BYTES = 2_500_000;

  private ScriptedPlatformTarget() {}

  /** Opens the port of the target. */
  static void open(Loop loop, String host, int port) throws InterruptedException {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES),
                    new Responder());
          }
        };
    loop.listen(host, port, initializer).sync();
  }

  private static final class Responder extends SimpleChannelInboundHandler<HttpObject> {
    private String path = "";
    private String requestId = "";

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (part instanceof HttpRequest head) {
        path = head.uri();
        requestId = head.headers().get("Request-Id", "");
      }
      if (part instanceof LastHttpContent && !path.startsWith("/slow/")) {
        var unused = ctx.writeAndFlush(response());
      }
    }

    private FullHttpResponse response() {
      String body = path.startsWith("/large/") ? "x".repeat(LARGE_BODY_BYTES) : "ok";
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.OK,
              Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1));
      response.headers().set("Request-Id", requestId).set("Server-Seal", "s");
      HttpUtil.setContentLength(response, body.length());
      for (int i = 0; path.startsWith("/heads/") && i < RESPONSE_HEADERS; i++) {
        response.headers().add("h" + Integer.toString(i, Character.MAX_RADIX), "");
      }
      return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The entry VM has abandoned the request.
      Sockets.close(ctx);
    }
  }
}
