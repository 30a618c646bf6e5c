package org.sageladder.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.core.quota.QuotaTolerance;
import org.sageladder.core.routing.ApiKeys;
import org.sageladder.core.routing.CallerLimits;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.RoutingRules;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.ServiceShare;

/** A forwarder on its own port, with scripted targets. */
final class ForwardingFixture implements AutoCloseable {
  static final CallerLimits LIMITS = new CallerLimits(2_048, 1 << 20, 60_000, 60_000);

  /** Retries per request, enough for the tests in the first window of the budget as well. */
  private static final double RETRY_RATIO = 8;

  final Loop loop = Loop.start();
  final Metrics metrics = new Metrics();
  final Forwarder forwarder = newForwarder(loop, metrics);
  private final List<ScriptedTarget> targets = new ArrayList<>();
  private final int port;

  private ForwardingFixture() throws Exception {
    CompletableFuture<Integer> opened = new CompletableFuture<>();
    loop.execute(
        () ->
            forwarder.listen(
                "127.0.0.1",
                0,
                () -> opened.complete(forwarder.port().orElseThrow()),
                opened::completeExceptionally));
    port = opened.get();
  }

  /**
   * Opens a fixture whose routes are {@code /safe/}, {@code /once/} and {@code /hasty/} of host
   * {@code h}.
   */
  static ForwardingFixture open(ScriptedTarget... targets) throws Exception {
    ForwardingFixture fixture = new ForwardingFixture();
    fixture.onLoop(() -> fixture.forwarder.applyRules(rules(1)));
    for (ScriptedTarget target : targets) {
      fixture.addTarget(target);
    }
    return fixture;
  }

  /** Creates a forwarder without rules and targets. */
  static Forwarder newForwarder(Loop loop, Metrics metrics) {
    return Forwarder.create(
        loop,
        new TestDialect(),
        new Forwarder.Options(
            "e-1",
            "z",
            "r",
            1,
            1.5,
            5,
            RETRY_RATIO,
            100,
            10_000,
            1,
            1,
            QuotaTolerance.exact(),
            3_000,
            true),
        EventSink.none(),
        metrics);
  }

  /** Opens a fixture without rules. */
  static ForwardingFixture withoutRules() throws Exception {
    return new ForwardingFixture();
  }

  void addTarget(ScriptedTarget target) throws Exception {
    targets.add(target);
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation("t-" + targets.size(), 0),
            0,
            "s",
            "127.0.0.1",
            target.port(),
            "z",
            "r",
            2,
            false,
            0);
    onLoop(
        () -> {
          forwarder.updateTarget(facts);
          forwarder.updateEntries(List.of(new EntryVmLocation("e-1", "z", "r")));
        });
  }

  /** Adds a target that accepts no connections. */
  void addUnreachableTarget() throws Exception {
    ScriptedTarget closed = ScriptedTarget.of(request -> {});
    closed.close();
    addTarget(closed);
  }

  /** Opens the port for other entry VMs, which are those on {@code senderHost}. */
  RelayPeer openPeerPort(String senderHost) throws Exception {
    CompletableFuture<Integer> opened = new CompletableFuture<>();
    onLoop(
        () -> {
          forwarder.listenForPeers("127.0.0.1", 0, opened::complete, opened::completeExceptionally);
          forwarder.updateRelayPeers(List.of(peer("sender", senderHost, 1)));
        });
    return peer("e-2", "127.0.0.1", opened.get());
  }

  /** Another entry VM in the same zone. */
  static RelayPeer peer(String name, String host, int port) {
    return new RelayPeer(name, "z", "r", host, port, true);
  }

  void useRelayPeers(RelayPeer... peers) throws Exception {
    onLoop(() -> forwarder.updateRelayPeers(List.of(peers)));
  }

  void onLoop(Runnable task) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          task.run();
          done.complete(null);
        });
    done.get();
  }

  /** Number of requests without a complete response. */
  int inFlightCount() throws Exception {
    AtomicInteger count = new AtomicInteger();
    onLoop(() -> count.set(forwarder.inFlightCount()));
    return count.get();
  }

  static RoutingRules rules(long version) {
    return rules(version, LIMITS);
  }

  /** The same rules with other limits for callers. */
  static RoutingRules rules(long version, CallerLimits limits) {
    return RoutingRules.of(
        version,
        List.of(
            route("/safe/", true, 60_000),
            route("/once/", false, 60_000),
            route("/hasty/", true, 300)),
        List.of(new ServiceRule("s", 100, 0, 0)),
        limits);
  }

  /**
   * Rules with the routes {@code /safe/}, {@code /once/} and the anonymous {@code /open/}, and
   * these keys.
   */
  static RoutingRules rules(long version, ApiKeys keys) {
    return RoutingRules.of(
        version,
        List.of(
            route("/safe/", true, 60_000),
            route("/once/", false, 60_000),
            route("/open/", true, 60_000, true)),
        List.of(new ServiceRule("s", 100, 0, 0)),
        LIMITS,
        keys);
  }

  private static RouteRule route(String prefix, boolean idempotent, long timeout) {
    return route(prefix, idempotent, timeout, false);
  }

  private static RouteRule route(
      String prefix, boolean idempotent, long timeout, boolean anonymous) {
    return new RouteRule(
        prefix,
        "h",
        prefix,
        idempotent,
        timeout,
        1_000,
        1,
        List.of(new ServiceShare("s", 1)),
        2,
        true,
        Set.of(),
        anonymous);
  }

  /** Opens a connection of a caller. */
  Caller caller() throws IOException {
    return new Caller(new Socket(InetAddress.getLoopbackAddress(), port));
  }

  /** Opens a connection of a caller from a task of the event loop, which cannot accept it yet. */
  Caller callerUnchecked() {
    try {
      return caller();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Opens a connection of a caller with the loopback address {@code address}. */
  Caller callerFrom(String address) throws IOException {
    InetAddress local = InetAddress.getByName(address);
    return new Caller(new Socket(InetAddress.getLoopbackAddress(), port, local, 0));
  }

  @Override
  public void close() throws IOException {
    for (ScriptedTarget target : targets) {
      target.close();
    }
    loop.close();
  }

  /** A response as the caller receives it. */
  record Response(int status, String head, String body) {
    static Response ofHead(String head) {
      return new Response(Integer.parseInt(head.substring(9, 12)), head, "");
    }

    String header(String name) {
      return head.lines()
          .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
          .map(line -> line.substring(name.length() + 1).strip())
          .findFirst()
          .orElse("");
    }
  }

  /** A caller that writes raw bytes. */
  static final class Caller implements AutoCloseable {
    /** Only guards against a response that never comes. */
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    private final Socket socket;
    private final InputStream in;

    Caller(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Limits the time to wait for bytes. */
    void setReadTimeout(int millis) throws IOException {
      socket.setSoTimeout(millis);
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    void sendGet(String path, String id) throws IOException {
      write("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nObject: o\r\n\r\n");
    }

    /** Sends a request from a task of the event loop, which cannot read it yet. */
    void sendGetUnchecked(String path, String id) {
      try {
        sendGet(path, id);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    void sendPost(String path, String id, String body) throws IOException {
      write(
          "POST "
              + path
              + " HTTP/1.1\r\nHost: h\r\nId: "
              + id
              + "\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
    }

    Response exchange(String path, String id) throws IOException {
      sendGet(path, id);
      return readResponse();
    }

    Response readResponse() throws IOException {
      Response headOnly = Response.ofHead(readHead());
      int length = Integer.parseInt(headOnly.header("content-length"));
      return new Response(headOnly.status(), headOnly.head(), readBody(length));
    }

    String readHead() throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
        int read = in.read();
        if (read < 0) {
          throw new IOException("the connection ended after '" + head + "'");
        }
        head.append((char) read);
      }
      return head.toString();
    }

    String readBody(int length) throws IOException {
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new IOException("the body ended after " + body.length + " of " + length);
      }
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** True if a response with status 200 arrives whole; false if it is another or is cut off. */
    boolean readsCompleteSuccess() {
      try {
        Response head = Response.ofHead(readHead());
        if (head.status() != 200) {
          return false;
        }
        if (!head.header("transfer-encoding").isEmpty()) {
          return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1)
              .endsWith("\r\n0\r\n\r\n");
        }
        var unused = readBody(Integer.parseInt(head.header("content-length")));
        return true;
      } catch (IOException cutOff) {
        return false;
      }
    }

    /** True if the connection ends without another byte. */
    boolean isClosedByPeer() throws IOException {
      return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
