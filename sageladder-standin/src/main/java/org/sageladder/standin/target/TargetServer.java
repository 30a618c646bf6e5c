package org.sageladder.standin.target;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.sageladder.core.time.TimeSource;
import org.sageladder.standin.fault.FaultJson;
import org.sageladder.standin.http.ConnectionTable;
import org.sageladder.standin.http.JsonExchange;
import org.sageladder.standin.http.JsonExchange.Call;
import org.sageladder.standin.http.JsonExchange.Reply;
import org.sageladder.standin.http.Listeners;

/**
 * A target that runs requests in slots, reports its load and can inject faults.
 *
 * <pre>{@code
 * try (TargetServer target = TargetServer.start(TargetOptions.create("t-1").slots(3))) {
 *   URI bids = target.address().resolve("/bids?work=17&answerBytes=2048");
 *   // ... send it twice
 *   target.executions().repeated(); // {17=2}
 * }
 * }</pre>
 *
 * <p>Requests to all paths except {@code /load}, {@code /health} and {@code /admin/...} are work.
 * All targets of a process share two timer threads; each target has its own I/O thread.
 */
public final class TargetServer implements AutoCloseable {
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "target-stand-in");
            thread.setDaemon(true);
            return thread;
          });
  private static final int IO_THREADS = 1;
  private static final int CRASH_EXIT_CODE = 70;
  private static final long REBIND_DELAY_MILLIS = 50;

  private final TargetOptions options;
  private final SlotTable slots;
  private final Executions executions = Executions.create();
  private final ConnectionTable connections = ConnectionTable.create(peer -> {});
  private final AtomicLong answerCount = new AtomicLong();
  private final AtomicLong refusalCount = new AtomicLong();
  private final AtomicLong cancellationCount = new AtomicLong();
  private final HttpAsyncServer server;
  private final Object listenLock = new Object();
  private ListenerEndpoint endpoint;
  private final int port;
  private boolean isClosed;

  private TargetServer(TargetOptions options) throws IOException {
    this.options = options;
    this.slots = SlotTable.create(options, TimeSource.system());
    this.server =
        Listeners.server(IO_THREADS, connections, (request, context) -> route(request.getPath()));
    server.start();
    try {
      this.endpoint = Listeners.bind(server, options.host(), options.port());
    } catch (IOException e) {
      server.close(CloseMode.IMMEDIATE);
      throw e;
    }
    this.port = Listeners.port(endpoint);
  }

  /** Starts a target and returns once it listens. */
  public static TargetServer start(TargetOptions options) throws IOException {
    return new TargetServer(options);
  }

  /** Returns the port, which stays the same after a crash. */
  public int port() {
    return port;
  }

  /** Returns the base URI for requests. */
  public URI address() {
    return URI.create("http://" + options.host() + ":" + port);
  }

  /** Returns the options it was started with. */
  public TargetOptions options() {
    return options;
  }

  /** Returns the number of starts of each request. */
  public Executions executions() {
    return executions;
  }

  /** Returns the number of the current incarnation; a crash or restart adds one. */
  public long incarnation() {
    return slots.incarnation();
  }

  /** Returns the actual number of busy slots, regardless of faults. */
  public int busySlotCount() {
    return slots.load().busy();
  }

  /** Returns the actual number of queued requests, regardless of faults. */
  public int queuedCount() {
    return slots.load().queued();
  }

  /** Returns the number of requests whose connection closed before the answer started. */
  public long cancellationCount() {
    return cancellationCount.get();
  }

  /** Returns the number of requests refused before running. */
  public long refusalCount() {
    return refusalCount.get();
  }

  /** Returns the number of answers written completely. */
  public long answerCount() {
    return answerCount.get();
  }

  /** Returns the number of open connections. */
  public int openConnectionCount() {
    return connections.size();
  }

  /** Replaces all faults. */
  public void setFaults(TargetFaults next) {
    slots.setFaults(next);
  }

  /** Returns the current faults. */
  public TargetFaults faults() {
    return slots.faults();
  }

  /** Refuses new work until the next restart; work in flight continues. */
  public void drain() {
    slots.startDraining();
  }

  /** Crashes: ends the process, or closes all connections and the port until a delayed restart. */
  public void crash() {
    if (options.crashMillis() < 0) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    schedule(this::closeAndScheduleRestart, 0);
  }

  /** Closes all connections and restarts immediately on the same port as a new incarnation. */
  public void restart() {
    stopIncarnation();
    rebind();
  }

  private void closeAndScheduleRestart() {
    stopIncarnation();
    schedule(this::rebind, options.crashMillis());
  }

  private void stopIncarnation() {
    synchronized (listenLock) {
      endpoint.close(CloseMode.IMMEDIATE);
      connections.closeAll();
      slots.restart();
    }
  }

  private void rebind() {
    synchronized (listenLock) {
      if (isClosed || !endpoint.isClosed()) {
        return;
      }
      try {
        endpoint = Listeners.bind(server, options.host(), port);
      } catch (IOException e) {
        schedule(this::rebind, REBIND_DELAY_MILLIS);
      }
    }
  }

  private static void schedule(Runnable task, long delayMillis) {
    ScheduledFuture<?> unused = TIMER.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    synchronized (listenLock) {
      isClosed = true;
    }
    server.close(CloseMode.IMMEDIATE);
  }

  SlotTable slots() {
    return slots;
  }

  ScheduledFuture<?> scheduleAfter(long nanos, Runnable task) {
    return TIMER.schedule(task, nanos, TimeUnit.NANOSECONDS);
  }

  void recordStart(String key) {
    if (!key.isEmpty()) {
      executions.recordStart(key);
    }
  }

  void recordAnswer() {
    answerCount.incrementAndGet();
  }

  void recordRefusal() {
    refusalCount.incrementAndGet();
  }

  void recordCancellation() {
    cancellationCount.incrementAndGet();
  }

  void closeConnection(SocketAddress peer) {
    connections.close(peer);
  }

  private Supplier<AsyncServerExchangeHandler> route(String pathAndQuery) {
    int end = pathAndQuery.indexOf('?');
    String path = end < 0 ? pathAndQuery : pathAndQuery.substring(0, end);
    if (path.equals("/load") || path.equals("/health") || path.startsWith("/admin/")) {
      return () -> JsonExchange.create(this::handleControlCall, connections);
    }
    return () -> WorkExchange.create(this);
  }

  private CompletableFuture<Reply> handleControlCall(Call call) throws IOException {
    boolean isProbe = call.path().equals("/load") || call.path().equals("/health");
    if (isProbe && slots.faults().loadSilent()) {
      return new CompletableFuture<>();
    }
    return CompletableFuture.completedFuture(reply(call));
  }

  private Reply reply(Call call) throws IOException {
    return switch (call.path()) {
      case "/load" -> Reply.json(200, slots.reportedLoad());
      case "/health" -> health();
      case "/admin/faults" -> faultsReply(call);
      case "/admin/executions" -> executionsReply(call);
      case "/admin/state" -> stateReply();
      case "/admin/drain" -> runIfPost(call, this::drain);
      case "/admin/crash" -> runIfPost(call, this::scheduleCrash);
      case "/admin/restart" -> runIfPost(call, this::scheduleRestart);
      default -> Reply.json(404, Map.of("error", "no such path: " + call.path()));
    };
  }

  /** Crashes after a delay, so that the requesting call can be answered first. */
  private void scheduleCrash() {
    schedule(this::crash, REBIND_DELAY_MILLIS);
  }

  /** Restarts after a delay, so that the requesting call can be answered first. */
  private void scheduleRestart() {
    schedule(this::restart, REBIND_DELAY_MILLIS);
  }

  private Reply health() {
    boolean isUp = slots.isReportedUp();
    return Reply.json(isUp ? 200 : 503, Map.of("up", isUp));
  }

  private Reply faultsReply(Call call) throws IOException {
    if (call.method().equals("PUT")) {
      setFaults(FaultJson.read(call.body(), TargetFaults.none(), TargetFaults.class));
    }
    return Reply.json(200, faults());
  }

  private Reply executionsReply(Call call) {
    String key = call.query("key", "");
    if (!key.isEmpty()) {
      return Reply.json(200, Map.of("key", key, "count", executions.count(key)));
    }
    if (call.query().containsKey("keys")) {
      return Reply.json(200, new TreeSet<>(executions.keys()));
    }
    return Reply.json(200, Map.of("total", executions.total(), "repeated", executions.repeated()));
  }

  private Reply stateReply() {
    return Reply.json(
        200,
        Map.of(
            "id", options.id(),
            "load", slots.load(),
            "connections", connections.size(),
            "answered", answerCount.get(),
            "refused", refusalCount.get(),
            "cancelled", cancellationCount.get()));
  }

  private static Reply runIfPost(Call call, Runnable action) {
    if (!call.method().equals("POST")) {
      return Reply.json(405, Map.of("error", call.method() + ": expected POST"));
    }
    action.run();
    return Reply.json(200, Map.of());
  }
}
