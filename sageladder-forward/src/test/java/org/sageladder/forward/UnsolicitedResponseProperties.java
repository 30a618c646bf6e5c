package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

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

  /** How the next response states where it ends. */
  enum Framing {
    LENGTH,
    CHUNKS,
    END_OF_CONNECTION,
    NO_CONTENT,
    HEAD
  }

  /** How the bytes that a target sends are split into reads. */
  enum Delivery {
    TOGETHER,
    SPLIT,
    SINGLE_BYTES
  }

  /** A response that no request asked for, of which the first bytes are received. */
  record Piece(String response, int cut, Arrival arrival) {
    String text() {
      return response.substring(0, Math.min(cut, response.length()));
    }

    String textAt(Arrival moment) {
      return arrival == moment ? text() : "";
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
        "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\n"
            + length
            + "Transfer-Encoding: chunked\r\n\r\n"
            + "5;ext=1\r\nother\r\n0\r\nTrailer: one\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 10\r\nId: a\r\n\r\n" + body,
        "HTTP/1.1 200 OK\r\nX-Folded: one\r\n two\r\n\tthree\r\nId: a\r\n" + length + "\r\n" + body,
        "HTTP/1.1 200 OK\rId: a\r" + length.replace("\n", "") + "\r" + body,
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n" + body,
        "HTTP/1.1 304 Not Modified\r\nId: a\r\n" + length + "\r\n",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" + body,
        "HTTP/1.1 \t200  OK\r\n\u0000\u0001Id: a\r\n" + length + "\r\n" + body,
        "\u0000\u0000\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n" + length + "\r\n" + body,
        "HTTP/1.1 200 OK\nId: a\nSeal: other\n" + length.replace("\r", "") + "\n" + body,
        "HTTP/1.1 200 OK\r\nnot a header\r\nnor this : one\r\nId: a\r\n" + length + "\r\n" + body,
        "200 OK\r\n\r\nSeal: other\r\n",
        " \r\n\u0001\u0002 nonsense: HTTP\r\n\r\n");
  }

  private static void send(EmbeddedTarget target, String text, Delivery delivery, int splitAt) {
    int split = Math.min(splitAt, text.length());
    List<String> reads =
        switch (delivery) {
          case TOGETHER -> List.of(text);
          case SPLIT -> List.of(text.substring(0, split), text.substring(split));
          case SINGLE_BYTES -> List.of(text.split("", -1));
        };
    reads.forEach(target::send);
  }

  private static String response(Framing framing, String id, String body) {
    String headers = "\r\nId: " + id + "\r\nSeal: own\r\n";
    String head = "HTTP/1.1 500 Failed" + headers;
    String length = "Content-Length: " + body.length() + "\r\n\r\n";
    return switch (framing) {
      case LENGTH -> head + length + body;
      case CHUNKS -> head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body);
      case END_OF_CONNECTION -> head + "\r\n" + body;
      case NO_CONTENT -> "HTTP/1.1 204 No Content" + headers + "\r\n";
      case HEAD -> head + length;
    };
  }

  private static String chunks(String body) {
    int half = body.length() / 2;
    return chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n";
  }

  private static String chunk(String part) {
    return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
  }

  private static String response(int status, String reason, String id, String seal, String body) {
    String head = "HTTP/1.1 " + status + ' ' + reason + "\r\nId: " + id + "\r\nSeal: " + seal;
    return head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  @Property(generation = GenerationMode.EXHAUSTIVE)
  void nextResponseIsOwnOrNone(
      @ForAll("unsolicited") String unsolicited,
      @ForAll Arrival arrival,
      @ForAll Rest rest,
      @ForAll("cut") int cutAt) {
    int cut = Math.min(cutAt, unsolicited.length());
    String piece = unsolicited.substring(0, cut);
    String remainder = rest == Rest.NEVER ? "" : unsolicited.substring(cut);
    EmbeddedTarget target = new EmbeddedTarget();
    EmbeddedTarget.Recorder first = target.request("a");
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
    EmbeddedTarget.Recorder next = target.request("b");
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
  Arbitrary<Piece> piece() {
    return Combinators.combine(unsolicited(), cut(), Arbitraries.of(Arrival.class)).as(Piece::new);
  }

  /** Pieces of two responses, next responses of all kinds, and any split into reads. */
  @Property(tries = 30_000, seed = "20261206")
  void nextResponseOfAnyKindIsOwnOrNone(
      @ForAll("piece") Piece one,
      @ForAll("piece") Piece two,
      @ForAll boolean isFirstHead,
      @ForAll Framing framing,
      @ForAll Delivery delivery,
      @ForAll("cut") int splitAt) {
    EmbeddedTarget target = new EmbeddedTarget();
    EmbeddedTarget.Recorder first =
        target.request(isFirstHead ? HttpMethod.HEAD : HttpMethod.GET, "a");
    String firstResponse = response(200, "OK", "a", "first", isFirstHead ? "" : "body of a");
    send(
        target,
        firstResponse
            + one.textAt(Arrival.WITH_FIRST_RESPONSE)
            + two.textAt(Arrival.WITH_FIRST_RESPONSE),
        delivery,
        splitAt);
    assertTrue(first.isComplete);
    if (!target.connection.isReusable()) {
      return;
    }
    target.connection.markIdle(0, () -> {});
    send(target, one.textAt(Arrival.IDLE) + two.textAt(Arrival.IDLE), delivery, splitAt);
    if (!target.connection.isReusable()) {
      return;
    }
    EmbeddedTarget.Recorder next =
        target.request(framing == Framing.HEAD ? HttpMethod.HEAD : HttpMethod.GET, "b");
    Arrival late = Arrival.AFTER_NEXT_REQUEST;
    send(target, one.textAt(late) + two.textAt(late), delivery, splitAt);
    String ownBody = "x".repeat(20);
    Arrival with = Arrival.WITH_NEXT_RESPONSE;
    String own = response(framing, "b", ownBody);
    send(target, one.textAt(with) + two.textAt(with) + own, delivery, splitAt);
    var unused = target.channel.close();
    if (framing == Framing.NO_CONTENT) {
      next.assertOwnOrNone(204, "No Content", "b", "");
    } else {
      next.assertOwnOrNone("b", framing == Framing.HEAD ? "" : ownBody);
    }
    assertTrue(next.isComplete != next.isLost, "the request has no end or two");
  }

  @Provide
  Arbitrary<Integer> cut() {
    return Arbitraries.integers().between(0, MAX_BYTES);
  }
}
