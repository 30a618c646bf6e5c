package org.sageladder.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Sockets;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.standin.network.SimulatedHost;

/**
 * Property tests of the bytes that a hostile caller may write on a connection: 600 inputs per run,
 * generated from a fixed seed.
 */
class HostileFramingProperties {
  private static final int RUNS_PER_PROPERTY = 200;
  private static final long RESPONSE_WAIT_MILLIS = 2_500;
  private static final String SMUGGLED = "hidden";

  private final Fleet fleet = Fleet.start(Deployment.listing(), 1, LogSource.none());
  private final SimulatedHost host = fleet.network().addCallerHost("10.8.0.1", "north-a", "north");
  private final Loop loop = fleet.network().processLoop(host);
  private int lastId;

  HostileFramingProperties() {
    fleet.callers().forEach(callers -> callers.stop());
    fleet.runFor(5_000);
  }

  /** Channel handler at the caller that collects the received bytes as text. */
  private static final class ReceivedText extends ChannelInboundHandlerAdapter {
    final StringBuilder text = new StringBuilder();

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      text.append(bytes.toString(StandardCharsets.ISO_8859_1));
      bytes.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      text.append("");
    }

    long responseCount() {
      return text.toString().lines().filter(line -> line.contains("HTTP/1.1 ")).count();
    }
  }

  private String nextId() {
    lastId++;
    return "q-" + lastId;
  }

  private static String get(String id) {
    return "GET /browse/o1/20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
        + id
        + "\r\nCookie: Affinity-Key=o1\r\nRequest-Deadline: 2000\r\n\r\n";
  }

  /** Writes {@code text} in pieces that end at {@code cuts}, and returns the bytes received. */
  private ReceivedText write(String text, Iterable<Integer> cuts) {
    ReceivedText received = new ReceivedText();
    FleetEntry entry = fleet.entries().get(0);
    ChannelFuture opened = loop.connect(entry.host().ip(), entry.callersPort(), 1_000, received);
    fleet.runFor(100);
    assertTrue(opened.isSuccess(), "the port is not open");
    Channel channel = opened.channel();
    int from = 0;
    for (int cut : cuts) {
      from = send(channel, text, from, Math.max(from, Math.min(cut, text.length())));
    }
    send(channel, text, from, text.length());
    fleet.runFor(RESPONSE_WAIT_MILLIS);
    Sockets.close(channel);
    fleet.runFor(10);
    return received;
  }

  private int send(Channel channel, String text, int from, int to) {
    if (to > from) {
      String piece = text.substring(from, to);
      var unused = channel.writeAndFlush(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
      fleet.runFor(3);
    }
    return to;
  }

  private int runs(String id) {
    return fleet.day().ledger().runs(id).size();
  }

  private void assertNextRequestIsServed() {
    String id = nextId();
    ReceivedText received = write(get(id), List.of());
    assertTrue(received.text.toString().startsWith("HTTP/1.1 200"), received.text.toString());
    assertEquals(1, runs(id));
  }

  /** The division of the bytes into packets must not change how requests are parsed. */
  @Property(tries = RUNS_PER_PROPERTY, seed = "4711")
  void requestMayArriveInAnyPieces(@ForAll("cuts") SortedSet<Integer> cuts) {
    String first = nextId();
    String second = nextId();
    ReceivedText received = write(get(first) + get(second), cuts);
    assertEquals(2, received.responseCount(), received.text.toString());
    assertTrue(
        received.text.indexOf(first) < received.text.indexOf(second), "responses out of order");
    assertEquals(1, runs(first));
    assertEquals(1, runs(second));
  }

  /**
   * One byte of a request head is removed, inserted or replaced: the caller receives at most one
   * response, at most one request reaches a target, and the next caller is served.
   */
  @Property(tries = RUNS_PER_PROPERTY, seed = "4711")
  void malformedHeadRunsAtMostOnceAndAffectsNoOtherCaller(@ForAll("mutations") Mutation mutation) {
    String id = nextId();
    int before = fleet.day().ledger().arrivals().size();
    ReceivedText received = write(mutation.of(get(id)), List.of());
    assertTrue(fleet.day().ledger().arrivals().size() <= before + 1);
    assertTrue(received.responseCount() <= 1, received.text.toString());
    if (received.text.length() > 0) {
      assertTrue(received.text.toString().startsWith("HTTP/1.1 "), received.text.toString());
    }
    assertNextRequestIsServed();
  }

  /**
   * A second request is hidden in a body whose length different parsers may interpret differently:
   * it must not run at any target, whatever the result of the first request.
   */
  @Property(tries = RUNS_PER_PROPERTY, seed = "4711")
  void noRequestIsSmuggledInBody(@ForAll("framings") String framing) {
    String id = nextId();
    String inside = nextId() + SMUGGLED;
    String hidden = get(inside);
    String head =
        "POST /browse/o1/20 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
            + id
            + "\r\nRequest-Deadline: 2000\r\n"
            + framing.replace("LENGTH", Integer.toString(hidden.length() + 5))
            + "\r\n";
    var unused = write(head + "0\r\n\r\n" + hidden, List.of());
    if (!isPlain(framing)) {
      assertEquals(0, runs(inside), framing);
    } else if (framing.lines().count() == 1) {
      assertEquals(1, runs(inside), framing);
    }
    assertNextRequestIsServed();
  }

  /**
   * Returns true if all parsers agree that the body ends before the second request, which is then
   * an ordinary pipelined request.
   */
  private static boolean isPlain(String framing) {
    Set<String> lengths =
        framing
            .lines()
            .filter(line -> !line.startsWith("Connection"))
            .map(line -> line.replace('\t', ' ').toLowerCase(Locale.ROOT))
            .collect(Collectors.toSet());
    return lengths.equals(Set.of("content-length: 5"))
        || lengths.equals(Set.of("transfer-encoding: chunked"));
  }

  /** A change of one byte of a request head. */
  record Mutation(int kind, int at, char with) {
    String of(String text) {
      int place = at % text.length();
      String before = text.substring(0, place);
      String after = text.substring(place + 1);
      return switch (kind) {
        case 0 -> before + after;
        case 1 -> before + with + text.charAt(place) + after;
        default -> before + with + after;
      };
    }
  }

  @Provide
  Arbitrary<SortedSet<Integer>> cuts() {
    return Arbitraries.integers()
        .between(1, 280)
        .list()
        .ofMinSize(1)
        .ofMaxSize(12)
        .map(TreeSet::new);
  }

  @Provide
  Arbitrary<Mutation> mutations() {
    Arbitrary<Character> any =
        Arbitraries.oneOf(
            Arbitraries.chars().ascii(), Arbitraries.of('\r', '\n', '\0', ' ', ':', ';'));
    return Combinators.combine(
            Arbitraries.integers().between(0, 2), Arbitraries.integers().between(0, 1_000), any)
        .as(Mutation::new);
  }

  @Provide
  Arbitrary<String> framings() {
    Arbitrary<String> line =
        Arbitraries.of(
            "Transfer-Encoding: chunked",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: identity",
            "Transfer-Encoding : chunked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding:\tchunked",
            "transfer-encoding: CHUNKED",
            "Content-Length: LENGTH",
            "Content-Length: 5",
            "Content-Length: +5",
            "Content-Length: 5, 5",
            "Content-Length: 0",
            "Content-Length: -1",
            "Content-Length : 5",
            "Connection: keep-alive");
    return line.list().ofMinSize(1).ofMaxSize(4).map(lines -> String.join("\r\n", lines) + "\r\n");
  }
}
