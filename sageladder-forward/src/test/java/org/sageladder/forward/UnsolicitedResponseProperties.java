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
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.jspecify.annotations.Nullable;

/**
 * Guards against bytes of a response that no request asked for, cut at any byte, that become part
 * of the response to the next request on their connection.
 */
class UnsolicitedResponseProperties {
  private static final int MAX_BYTES = 200;

  /** When the unsolicited bytes are received. */
  enum Arrival {
    WITH_FIRST_RESPONSE,
    IDLE,
    AFTER_NEXT_REQUEST,
    WITH_NEXT_RESPONSE
  }

  /** When the bytes behind the cut are received. */
  enum Rest {
    NEVER,
    BEFORE_NEXT_RESPONSE,
    BEHIND_NEXT_RESPONSE
  }

  /** Records one response. */
  private static final class Recorder implements TargetConnection.Listener {
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
      HttpResponse received = head;
      if (received == null) {
        assertTrue(!isComplete && body.isEmpty(), "a body without a head");
        return;
      }
      assertEquals(500, received.status().code());
      assertEquals("Failed", received.status().reasonPhrase());
      assertEquals(id, received.headers().get("Id"));
      assertEquals("own", received.headers().get("Seal"));
      assertTrue(ownBody.startsWith(body.toString()), body.toString());
      assertTrue(!isComplete || ownBody.equals(body.toString()), "a truncated body is complete");
    }
  }

  @Provide
  Arbitrary<String> unsolicited() {
    String body = "other".repeat(10);
    String length = "Content-Length: 50\r\n";
    return Arbitraries.of(
        "HTTP/1.1 200 OK\r\nId: a\r\nSeal: other\r\n" + length + "\r\n" + body,
        "HTTP/1.1 200 OK\r\nSeal: other\r\n" + length + "\r\n" + body,
        "HTTP/1.1 200 OK\r\n" + length + "Seal: other\r\nId: a\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\nId: a\r\nSeal: other\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "32\r\n"
            + body
            + "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nSeal: other\r\n\r\n" + body,
        "HTTP/1.1 204 No Content\r\nSeal: other\r\nId: a\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nX-Hint: one\r\n\r\n",
        "HTTP/1.0 200 OK\r\nSeal: other\r\n" + length + "\r\n" + body,
        "HTTP/1.1 200 OK\nId: a\nSeal: other\n" + length.replace("\r", "") + "\n" + body,
        "200 OK\r\n\r\nSeal: other\r\n",
        " \r\n\u0001\u0002 nonsense: HTTP\r\n\r\n");
  }

  /** A connection to a target whose bytes the test writes. */
  private static final class Target {
    final TargetConnection connection =
        new TargetConnection(new TestDialect(), 60_000, TargetConnection.DiscardListener.none());
    final EmbeddedChannel channel = new EmbeddedChannel();

    Target() {
      connection.install(channel.pipeline());
    }

    Recorder request(String id) {
      Recorder recorder = new Recorder();
      connection.markInUse();
      connection.send(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/safe/1"), id, recorder);
      connection.endRequest(0);
      return recorder;
    }

    void send(String text) {
      if (channel.isOpen() && !text.isEmpty()) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
      }
    }
  }

  private static String response(int status, String reason, String id, String seal, String body) {
    String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nId: " + id + "\r\nSeal: " + seal;
    return head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @Property(tries = 30_000)
  void nextResponseIsOwnOrNone(
      @ForAll("unsolicited") String unsolicited,
      @ForAll Arrival arrival,
      @ForAll Rest rest,
      @ForAll("cut") int cutAt) {
    int cut = Math.min(cutAt, unsolicited.length());
    String piece = unsolicited.substring(0, cut);
    String remainder = rest == Rest.NEVER ? "" : unsolicited.substring(cut);
    Target target = new Target();
    Recorder first = target.request("a");
    String firstResponse = response(200, "OK", "a", "first", "body of a");
    target.send(firstResponse + (arrival == Arrival.WITH_FIRST_RESPONSE ? piece : ""));
    assertTrue(first.isComplete);
    assertEquals("body of a", first.body.toString());
    if (!target.connection.isReusable()) {
      return;
    }
    target.connection.markIdle(0, () -> {});
    target.send(arrival == Arrival.IDLE ? piece : "");
    if (!target.connection.isReusable()) {
      return;
    }
    Recorder next = target.request("b");
    target.send(arrival == Arrival.AFTER_NEXT_REQUEST ? piece : "");
    String ownBody = "x".repeat(20);
    String own = response(500, "Failed", "b", "own", ownBody);
    String before = rest == Rest.BEFORE_NEXT_RESPONSE ? remainder : "";
    target.send((arrival == Arrival.WITH_NEXT_RESPONSE ? piece : "") + before + own);
    target.send(rest == Rest.BEHIND_NEXT_RESPONSE ? remainder : "");
    next.assertOwnOrNone("b", ownBody);
    var unused = target.channel.close();
    next.assertOwnOrNone("b", ownBody);
    assertTrue(next.isComplete != next.isLost, "the request has no end or two");
  }

  @Provide
  Arbitrary<Integer> cut() {
    return Arbitraries.integers().between(0, MAX_BYTES);
  }
}
