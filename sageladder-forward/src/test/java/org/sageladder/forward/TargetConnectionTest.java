package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What of a request's body reaches a target. */
class TargetConnectionTest {
  /** Records why the request was lost. */
  private static final class LossRecorder implements TargetConnection.Listener {
    final List<String> losses = new ArrayList<>();
    int completedCount;
    Runnable onLoss = () -> {};

    @Override
    public void onHead(HttpResponse response) {}

    @Override
    public void onBodyBytes(ByteBuf bytes) {
      bytes.release();
    }

    @Override
    public void onOtherResponse() {}

    @Override
    public void onComplete() {
      completedCount++;
    }

    @Override
    public void onLost(String cause) {
      losses.add(cause);
      onLoss.run();
    }

    @Override
    public void onWritable() {}
  }

  private final TargetConnection connection =
      new TargetConnection(new TestDialect(), 1_000, TargetConnection.DiscardListener.none());
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final LossRecorder recorder = new LossRecorder();

  private void send(boolean isChunked, int contentLength) {
    connection.install(channel.pipeline());
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/once/1");
    HttpUtil.setTransferEncodingChunked(head, isChunked);
    if (contentLength > 0) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
    }
    connection.send(head, "a", recorder);
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private String sentText() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
      text.append(out.toString(StandardCharsets.UTF_8));
      out.release();
    }
    return text.toString();
  }

  /** Guards against a part of a body that a target takes for the whole. */
  @Test
  void requestWithoutPartOfItsBodyIsNotEnded() {
    send(true, 0);
    connection.writeBody(bytes("rest"));
    connection.endRequest(10);
    assertFalse(channel.isOpen());
    assertFalse(sentText().endsWith("0\r\n\r\n"));
    assertEquals(List.of("only 4 bytes of the body were written"), recorder.losses);
  }

  @Test
  void requestShorterThanItsContentLengthIsNotEnded() {
    send(false, 10);
    connection.writeBody(bytes("rest"));
    connection.endRequest(4);
    assertFalse(channel.isOpen());
    assertEquals(1, recorder.losses.size());
  }

  /** Guards against bytes of a body that a target takes for another request. */
  @Test
  void bodyThatTheHeadDoesNotAnnounceIsNotSent() {
    send(false, 0);
    connection.writeBody(bytes("GET /other HTTP/1.1\r\n\r\n"));
    assertFalse(sentText().contains("/other"));
    assertFalse(channel.isOpen());
    assertEquals(1, recorder.losses.size());
  }

  @Test
  void wholeBodyIsEnded() {
    send(true, 0);
    connection.writeBody(bytes("rest"));
    connection.endRequest(4);
    assertTrue(sentText().endsWith("0\r\n\r\n"));
    assertEquals(List.of(), recorder.losses);
  }

  /** Guards against a body whose beginning went to another connection. */
  @Test
  void streamedBodyIsRejectedOnAnotherConnection() {
    send(true, 0);
    BufferedBody body = new BufferedBody();
    body.add(bytes("beginning"));
    body.writeTo(connection);
    body.add(bytes("rest"));
    TargetConnection other =
        new TargetConnection(new TestDialect(), 1_000, TargetConnection.DiscardListener.none());
    assertThrows(IllegalStateException.class, () -> body.writeTo(other));
    assertFalse(body.isReplayable());
  }

  /** Guards against responses that are discarded without a trace of what was received. */
  @Test
  void discardedBytesAreQuoted() {
    List<String> discards = new ArrayList<>();
    TargetConnection described =
        new TargetConnection(
            new TestDialect(),
            1_000,
            (from, reason, answeredId) -> discards.add(reason + ", " + from.describe(512)));
    described.install(channel.pipeline());
    described.markOpened(500);
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/safe/1");
    described.send(head, "a", recorder);
    channel.writeInbound(bytes("no\\\u0001 response\r\n"));
    assertEquals(
        List.of(
            "MALFORMED, request 1 on a connection opened 12 ms ago, 15 bytes received since"
                + " the previous response: 'no\\\\\\x01 response\\r\\n'"),
        discards);
  }

  /** Fails all writes and then closes the connection. */
  private static ChannelOutboundHandlerAdapter failingSocket() {
    return new ChannelOutboundHandlerAdapter() {
      private final List<ChannelPromise> writes = new ArrayList<>();

      @Override
      public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ReferenceCountUtil.release(message);
        writes.add(promise);
      }

      @Override
      public void flush(ChannelHandlerContext ctx) {
        writes.forEach(write -> write.setFailure(new IOException("Broken pipe")));
        writes.clear();
        var unused = ctx.close();
      }
    };
  }

  /** Guards against a response without length that is cut by a failed write and looks complete. */
  @Test
  void responseThatEndsWithAFailedWriteIsLost() {
    send(true, 0);
    connection.writeBody(bytes("begin"));
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nhalf"));
    channel.pipeline().addFirst(failingSocket());
    connection.writeBody(bytes("rest"));
    assertEquals(List.of("Broken pipe"), recorder.losses);
    assertEquals(0, recorder.completedCount);
  }

  /** Guards against a lost target that is never checked, since it had answered another request. */
  @Test
  void responseToAnotherRequestIsNoSignOfTheCurrentOne() {
    send(true, 0);
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 2\r\n\r\nno"));
    assertFalse(connection.hasResponseBytes());
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n"));
    assertTrue(connection.hasResponseBytes());
  }

  /** Guards against a status line that the decoder drops as a part of a header's name. */
  @ParameterizedTest
  @ValueSource(strings = {"words HTTP/1.1 500 Failed", "X HTTP/1.1 500 Failed: too late", "X"})
  void statusLineBesideTheNameOfAHeaderIsMalformed(String line) {
    send(false, 0);
    connection.endRequest(0);
    channel.writeInbound(
        bytes("HTTP/1.1 200 OK\r\n" + line + "\r\nId: a\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(1, recorder.losses.size());
  }

  /** Guards against a header that is read under another name than the target sent. */
  @ParameterizedTest
  @ValueSource(strings = {"Id : a", "Id  : a", "Id\t: a"})
  void nameOfAHeaderMayNotEndWithWhitespace(String line) {
    send(false, 0);
    connection.endRequest(0);
    channel.writeInbound(bytes("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(0, recorder.completedCount);
    assertEquals(1, recorder.losses.size());
    assertFalse(channel.isOpen());
  }

  /** Guards against a wait until the deadline for a response in HTTP/1.1. */
  @Test
  void switchedProtocolIsMalformed() {
    send(false, 0);
    connection.endRequest(0);
    channel.writeInbound(
        bytes("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nh2"));
    assertEquals(1, recorder.losses.size());
  }

  /** Guards against a status line behind a part of another one that other spaces hide. */
  @Test
  void secondStatusLineMayHaveOtherSpaces() {
    send(false, 0);
    connection.endRequest(0);
    channel.writeInbound(
        bytes("HTTP/1.1 200 OKHTTP/1.1\t 500 Failed\r\nId: a\r\nContent-Length: 0\r\n\r\n"));
    assertEquals(1, recorder.losses.size());
  }

  /** Guards against new connections after responses that have no body and need no length. */
  @ParameterizedTest
  @ValueSource(strings = {"204 No Content", "304 Not Modified"})
  void responseWithoutBodyKeepsTheConnection(String status) {
    send(false, 0);
    connection.endRequest(0);
    channel.writeInbound(bytes("HTTP/1.1 " + status + "\r\nId: a\r\n\r\n"));
    assertEquals(1, recorder.completedCount);
    assertTrue(connection.isReusable());
  }

  /** Guards against an exception if a failed write ends the request and releases its body. */
  @Test
  void bodyMayBeReleasedWhileItIsWritten() {
    BufferedBody body = new BufferedBody();
    body.add(bytes("begin"));
    body.add(bytes("rest"));
    body.complete();
    recorder.onLoss = body::release;
    channel.pipeline().addFirst(failingSocket());
    send(true, 0);
    body.writeTo(connection);
    assertEquals(List.of("Broken pipe"), recorder.losses);
  }
}
