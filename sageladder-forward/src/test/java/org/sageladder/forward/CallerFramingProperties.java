package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.time.VirtualTime;

/** Guards against a request that a target gets and no caller sent, made of the bytes of two. */
class CallerFramingProperties {
  private static final String WHOLE = "GET /safe/b HTTP/1.1\r\nHost: h\r\nId: b\r\n\r\n";

  /** A network of targets that accept all connections and never respond. */
  private static final class SilentTargets implements Transport {
    private final List<EmbeddedChannel> connections = new ArrayList<>();

    @Override
    public ChannelFuture connect(
        Loop loop, String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
      EmbeddedChannel connection = new EmbeddedChannel(handler);
      connections.add(connection);
      return connection.newSucceededFuture();
    }

    @Override
    public ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public DatagramPort openDatagrams(
        Loop loop,
        String host,
        int port,
        DatagramPort.Receiver receiver,
        Consumer<Throwable> failed) {
      throw new UnsupportedOperationException();
    }

    /** What was sent on each connection. */
    List<String> takeRequests() {
      return connections.stream().map(SilentTargets::takeText).toList();
    }

    private static String takeText(EmbeddedChannel connection) {
      StringBuilder text = new StringBuilder();
      for (ByteBuf out = connection.readOutbound(); out != null; out = connection.readOutbound()) {
        text.append(out.toString(StandardCharsets.ISO_8859_1));
        out.release();
      }
      return text.toString();
    }
  }

  /** Returns what targets get of the bytes that a caller writes in these pieces. */
  private static List<String> requestsAtTargets(String... pieces) {
    EmbeddedChannel loopChannel = new EmbeddedChannel();
    SilentTargets targets = new SilentTargets();
    Loop loop = Loop.on(loopChannel.eventLoop(), VirtualTime.startingAt(0), targets, Runnable::run);
    Forwarder forwarder = ForwardingFixture.newForwarder(loop, new Metrics());
    forwarder.applyRules(ForwardingFixture.rules(1));
    forwarder.updateTarget(
        new TargetFacts(
            new TargetIncarnation("t-1", 0), 0, "s", "127.0.0.1", 1, "z", "r", 2, false, 0));
    forwarder.updateEntries(List.of(new EntryVmLocation("e-1", "z", "r")));
    EmbeddedChannel caller = new EmbeddedChannel();
    new CallerConnection(forwarder, false).install(caller.pipeline());
    for (String piece : pieces) {
      if (caller.isOpen()) {
        caller.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
      }
    }
    List<String> requests = targets.takeRequests();
    caller.finishAndReleaseAll();
    loopChannel.finishAndReleaseAll();
    return requests;
  }

  @Provide
  Arbitrary<String> other() {
    return Arbitraries.of(
        "GET /safe/a HTTP/1.1\r\nHost: h\r\nId: a\r\nNote: n\r\n\r\n",
        "GET /safe/a HTTP/1.1\r\nNote: n\r\nId: a\r\nHost: h\r\n\r\n",
        "GET /safe/a?q=1 HTTP/1.1\r\nNote: one\r\n two\r\nHost: h\r\nId: a\r\n\r\n",
        "GET /safe/a HTTP/1.1\nNote: n\nHost: h\nId: a\n\n",
        "POST /safe/a HTTP/1.1\r\nNote:n\r\nContent-Length: 0\r\nHost: h\r\nId: a\r\n\r\n",
        "DELETE /safe/a HTTP/1.0\r\nNote: n:m\r\nHost: h\r\nId: a\r\n\r\n");
  }

  @Provide
  Arbitrary<Integer> cut() {
    return Arbitraries.integers().between(0, 90);
  }

  @Property(tries = 2_000)
  void pieceOfRequestIsNoPartOfNextOne(@ForAll("other") String other, @ForAll("cut") int cut) {
    String piece = other.substring(0, Math.min(cut, other.length()));
    List<String> requests = requestsAtTargets(piece, WHOLE);
    assertTrue(!piece.isEmpty() || requests.size() == 1, "the whole request was not sent");
    for (String request : requests) {
      String ownLine = request.contains("\r\nId: a\r\n") ? firstWords(other) : firstWords(WHOLE);
      assertEquals(ownLine, firstWords(request), request);
      assertTrue(request.indexOf(" HTTP/1.1") == request.lastIndexOf(" HTTP/1.1"), request);
    }
  }

  /** Bytes behind a body of the announced length, followed by the next request. */
  @Property(tries = 500, seed = "20261206")
  void bytesBehindBodyAreNoPartOfNextRequest(@ForAll("surplus") String surplus) {
    String first = "POST /safe/a HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 3\r\n\r\nabc";
    for (String request : requestsAtTargets(first + surplus, WHOLE)) {
      String ownLine = request.contains("\r\nId: a\r\n") ? firstWords(first) : firstWords(WHOLE);
      assertEquals(ownLine, firstWords(request), request);
      assertTrue(request.indexOf(" HTTP/1.1") == request.lastIndexOf(" HTTP/1.1"), request);
    }
  }

  @Provide
  Arbitrary<String> surplus() {
    return Arbitraries.strings().withChars("abcXYZ019 :/\r\n-.").ofMaxLength(8);
  }

  /** Method and path. */
  private static String firstWords(String request) {
    return request.substring(0, Math.max(0, request.indexOf(" HTTP/1.")));
  }
}
