package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** A connection to a target whose bytes the test writes. */
final class EmbeddedTarget {
  final TargetConnection connection =
      new TargetConnection(new TestDialect(), 60_000, TargetConnection.DiscardListener.none());
  final EmbeddedChannel channel = new EmbeddedChannel();

  EmbeddedTarget() {
    connection.install(channel.pipeline());
  }

  Recorder request(String id) {
    return request(HttpMethod.GET, id);
  }

  Recorder request(HttpMethod method, String id) {
    Recorder recorder = new Recorder();
    connection.markInUse();
    connection.send(new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/safe/1"), id, recorder);
    connection.endRequest(0);
    channel.releaseOutbound();
    return recorder;
  }

  void send(String text) {
    if (channel.isOpen() && !text.isEmpty()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
  }

  /** Records one response. */
  static final class Recorder implements TargetConnection.Listener {
    @Nullable HttpResponse head;
    final StringBuilder body = new StringBuilder();
    boolean isComplete;
    boolean isLost;

    @Override
    public void onHead(HttpResponse response) {
      head = response;
    }

    @Override
    public void onBodyBytes(ByteBuf bytes) {
      body.append(bytes.toString(StandardCharsets.ISO_8859_1));
      bytes.release();
    }

    @Override
    public void onOtherResponse() {}

    @Override
    public void onComplete() {
      isComplete = true;
    }

    @Override
    public void onLost(String cause) {
      isLost = true;
    }

    @Override
    public void onWritable() {}

    /** Fails unless what was received is the response with status 500 or a part of it. */
    void assertOwnOrNone(String id, String ownBody) {
      assertOwnOrNone(500, "Failed", id, ownBody);
    }

    /** Fails unless what was received is the response with this status or a part of it. */
    void assertOwnOrNone(int status, String reason, String id, String ownBody) {
      HttpResponse received = head;
      if (received == null) {
        assertTrue(!isComplete && body.isEmpty(), "a body without a head");
        return;
      }
      assertEquals(status, received.status().code());
      assertEquals(reason, received.status().reasonPhrase());
      assertEquals(id, received.headers().get("Id"));
      assertEquals("own", received.headers().get("Seal"));
      assertTrue(ownBody.startsWith(body.toString()), body.toString());
      assertTrue(!isComplete || ownBody.equals(body.toString()), "a truncated body is complete");
    }
  }
}
