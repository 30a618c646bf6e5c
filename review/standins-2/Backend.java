import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound backend: runs what it is sent, up to its slots and a queue; says so if it does not. */
final class Backend {
  final String id;
  final String service;
  final String zone;
  final int slots;
  private final int workMillis;
  private final Record record;
  private final HttpServer server;
  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();
  private volatile String state = "ready";
  private int sequence;

  Backend(
      String id, String service, String zone, String host, int slots, int workMillis, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.record = record;
    this.free = new Semaphore(slots, true);
    server = HttpServer.create(new InetSocketAddress(host, 0), 200);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "backend");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** What it writes of itself into the store with a heartbeat. */
  synchronized String beat() {
    sequence++;
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"config_version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"cold_left\":\"0ms\",\"sequence\":"
        + sequence
        + "}";
  }

  void drain() {
    state = "draining";
  }

  void stop() {
    server.stop(0);
  }

  private String load() {
    return (slots - free.availablePermits()) + "," + waiting.get() + "," + slots;
  }

  private void handle(HttpExchange call) throws IOException {
    byte[] body = call.getRequestBody().readAllBytes();
    call.getResponseHeaders().set("Instance-Id", id);
    call.getResponseHeaders().set("Server-Load", load());
    if (call.getRequestURI().getPath().equals("/health")) {
      answer(call, state.equals("ready") ? 200 : 503, "");
      return;
    }
    String request = call.getRequestHeaders().getFirst("Request-Id");
    String expected = call.getRequestHeaders().getFirst("Expected-Instance");
    if (request == null) {
      call.getResponseHeaders().set("Not-Executed", "1");
      answer(call, 400, "");
      return;
    }
    call.getResponseHeaders().set("Request-Id", request);
    if (expected != null && !expected.equals(id)) {
      call.getResponseHeaders().set("Not-Executed", "1");
      answer(call, 421, "");
      return;
    }
    if (waiting.get() >= 3 * slots) {
      call.getResponseHeaders().set("Not-Executed", "1");
      answer(call, 503, "");
      return;
    }
    waiting.incrementAndGet();
    free.acquireUninterruptibly();
    waiting.decrementAndGet();
    try {
      record.ran(
          request,
          service,
          id,
          call.getRequestHeaders().getFirst("Tenant"),
          call.getRequestMethod() + " " + call.getRequestURI(),
          body.length);
      Thread.sleep(workMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      free.release();
    }
    call.getResponseHeaders().set("Server-Seal", "seal-" + request);
    answer(call, 200, "body of " + request);
  }

  private static void answer(HttpExchange call, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    call.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      call.getResponseBody().write(bytes);
    }
    call.close();
  }
}
