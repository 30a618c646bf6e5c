package org.sageladder.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.result.ResultCode;

/** Single tries at single entry VMs. */
final class EntryCalls implements AutoCloseable {
  /**
   * Shorter than the idle time after which an entry VM closes a connection, 1 min at least: a
   * connection closed there just as a request is sent would leave its outcome unknown.
   */
  private static final Timeout CONNECTION_LIFE = Timeout.ofSeconds(50);

  private static final String RESULT = "Sageladder-Result";
  private static final String OUTCOME = "Sageladder-Outcome";
  private static final int IO_THREADS = 2;
  private static final int FRESH_CONNECTION_TRIES = 3;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpAsyncRequester requester;
  private final ClientOptions options;

  private EntryCalls(HttpAsyncRequester requester, ClientOptions options) {
    this.requester = requester;
    this.options = options;
  }

  static EntryCalls start(ClientOptions options) {
    HttpAsyncRequester requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom().setIoThreadCount(IO_THREADS).setTcpNoDelay(true).build())
            .setDefaultMaxPerRoute(options.connectionsPerEntry())
            .setMaxTotal(Integer.MAX_VALUE)
            .setTimeToLive(CONNECTION_LIFE)
            .create();
    requester.start();
    return new EntryCalls(requester, options);
  }

  /** True where the answer is the target's own, which the entry VM only passed on. */
  static boolean isTargetsAnswer(HttpResponse response) {
    return resultCode(response).filter(code -> code == ResultCode.OK).isPresent();
  }

  /**
   * Sends a request to {@code entry}.
   *
   * @param remaining time until the caller's deadline, all tries together
   * @param wait how long to wait for this try's whole answer, at most {@code remaining}; the entry
   *     VM is told, since one that only knows of the whole time gives a request its slot just
   *     before this library leaves for the next entry VM, and the work is cut in the middle
   */
  TryResult send(
      EntryAddress entry,
      Request request,
      String permit,
      Duration remaining,
      Duration wait,
      @Nullable BodySink sink) {
    AsyncRequestBuilder builder =
        AsyncRequestBuilder.create(request.method())
            .setHttpHost(host(entry))
            .setPath("/v1/request/" + request.contract() + "/" + request.service() + request.path())
            .setHeader("Sageladder-Deadline-Millis", millis(remaining))
            .setHeader("Sageladder-Try-Millis", millis(wait))
            .setHeader("Sageladder-Request-Id", request.id())
            .setHeader("Sageladder-Block", String.valueOf(request.block()));
    request.headers().forEach(builder::setHeader);
    if (!permit.isEmpty()) {
      builder.setHeader("Sageladder-Permit", permit);
    }
    if (!request.idempotencyKey().isEmpty()) {
      builder.setHeader("Sageladder-Idempotency-Key", request.idempotencyKey());
    }
    if (!request.contentType().isEmpty()) {
      builder.setEntity(request.body(), ContentType.parse(request.contentType()));
    }
    return exchange(entry, builder.build(), wait, sink);
  }

  private static String millis(Duration span) {
    return String.valueOf(Math.max(1, span.toMillis()));
  }

  /** What a look-up gave. */
  sealed interface Found {
    /** Where to send requests. */
    record At(Route route) implements Found {}

    /** No answer to go by. */
    record Nothing(TryResult why) implements Found {}
  }

  /** Asks {@code entry} where to send requests. */
  Found lookUp(EntryAddress entry, RouteCache.Key key, Duration wait) {
    AsyncRequestProducer request =
        AsyncRequestBuilder.get()
            .setHttpHost(host(entry))
            .setPath(
                "/v1/look-up?contract="
                    + encode(key.contract())
                    + "&service="
                    + encode(key.service())
                    + "&block="
                    + key.block())
            .build();
    TryResult result = exchange(entry, request, wait, null);
    if (!(result instanceof TryResult.Whole whole)) {
      return new Found.Nothing(result);
    }
    try {
      return new Found.At(route(JSON.readTree(whole.body())));
    } catch (IOException | IllegalArgumentException e) {
      return new Found.Nothing(
          new TryResult.Lost(entry + ": not an answer to a look-up: " + e.getMessage()));
    }
  }

  private static Route route(JsonNode json) {
    List<EntryAddress> entries = new ArrayList<>();
    for (JsonNode entry : json.path("entries")) {
      entries.add(EntryAddress.parse(entry.path("address").asText()));
    }
    if (entries.isEmpty()) {
      throw new IllegalArgumentException("no entry VMs in " + json);
    }
    return new Route(
        json.path("revision").asLong(),
        json.path("ttlMillis").asLong(),
        entries,
        json.path("permit").asText(""));
  }

  static String describe(TryResult result) {
    if (result instanceof TryResult.Said said) {
      return said.code() + ": " + said.detail();
    }
    if (result instanceof TryResult.NotSent notSent) {
      return notSent.detail();
    }
    return result instanceof TryResult.Lost lost ? lost.detail() : "answered";
  }

  private TryResult exchange(
      EntryAddress entry, AsyncRequestProducer request, Duration wait, @Nullable BodySink sink) {
    long deadline = System.nanoTime() + wait.toNanos();
    AsyncClientEndpoint endpoint;
    try {
      endpoint = connect(entry, wait);
    } catch (IOException e) {
      return new TryResult.NotSent(entry + ": " + e.getMessage());
    }
    boolean whole = false;
    try {
      Future<BodyConsumer.Received> future =
          endpoint.execute(
              request,
              BodyConsumer.create(sink, options.mostBodyBytes()),
              HttpCoreContext.create(),
              null);
      BodyConsumer.Received received =
          future.get(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
      whole = true;
      return result(entry, received);
    } catch (TimeoutException e) {
      return new TryResult.Lost(entry + ": no whole answer within " + wait.toMillis() + " ms");
    } catch (ExecutionException e) {
      return new TryResult.Lost(entry + ": " + e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new TryResult.Lost(entry + ": interrupted");
    } finally {
      release(endpoint, whole);
    }
  }

  /**
   * Failure guarded against: a pooled connection whose last answer was given up brings that answer
   * to the next request. It is closed instead, so a late answer reaches nobody.
   */
  private static void release(AsyncClientEndpoint endpoint, boolean whole) {
    if (whole) {
      endpoint.releaseAndReuse();
    } else {
      endpoint.releaseAndDiscard();
    }
  }

  /** Pooled connections that the entry VM has closed since are dropped before anything is sent. */
  private AsyncClientEndpoint connect(EntryAddress entry, Duration wait) throws IOException {
    for (int tried = 0; tried < FRESH_CONNECTION_TRIES; tried++) {
      AsyncClientEndpoint endpoint = connectOnce(entry, wait);
      if (endpoint.isConnected()) {
        return endpoint;
      }
      endpoint.releaseAndDiscard();
    }
    throw new IOException("connections keep closing");
  }

  private AsyncClientEndpoint connectOnce(EntryAddress entry, Duration wait) throws IOException {
    Duration limit = wait.compareTo(options.connectTimeout()) < 0 ? wait : options.connectTimeout();
    // The library also takes this as the longest silence on the connection, which a request that
    // waits its turn must be free to exceed; the waits below and for the answer are what limits.
    Future<AsyncClientEndpoint> future = requester.connect(host(entry), Timeout.DISABLED);
    try {
      return future.get(limit.toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      future.cancel(true);
      throw new IOException("no connection within " + limit.toMillis() + " ms", e);
    } catch (ExecutionException e) {
      throw new IOException("no connection: " + e.getCause(), e);
    } catch (InterruptedException e) {
      future.cancel(true);
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while connecting", e);
    }
  }

  private static TryResult result(EntryAddress entry, BodyConsumer.Received received) {
    HttpResponse head = received.head();
    Optional<ResultCode> code = resultCode(head);
    if (code.isEmpty()) {
      return new TryResult.Lost(
          entry + ": status " + head.getCode() + " without a result this library knows");
    }
    if (code.get() == ResultCode.OK) {
      return new TryResult.Whole(
          head.getCode(), headers(head), received.body(), value(head, "Sageladder-Target"));
    }
    return new TryResult.Said(
        code.get(),
        Duration.ofMillis(number(value(head, "Sageladder-Retry-After-Millis"))),
        entry + ": " + detail(received.body()),
        value(head, "Sageladder-Permit"));
  }

  /** The code, unless this library and the entry VM differ on what it asserts. */
  private static Optional<ResultCode> resultCode(HttpResponse head) {
    String text = value(head, RESULT);
    int space = text.indexOf(' ');
    long number = number(space < 0 ? text : text.substring(0, space));
    if (text.isEmpty()) {
      return Optional.empty();
    }
    String outcome = value(head, OUTCOME).replace('-', '_').toUpperCase(Locale.ROOT);
    return ResultCode.ofNumber((int) number)
        .filter(code -> outcome.isEmpty() || code.outcome().name().equals(outcome));
  }

  private static String detail(byte[] body) {
    try {
      return JSON.readTree(body).path("detail").asText("");
    } catch (IOException e) {
      return "";
    }
  }

  private static Map<String, List<String>> headers(HttpResponse head) {
    Map<String, List<String>> headers = new TreeMap<>();
    for (Header header : head.getHeaders()) {
      headers
          .computeIfAbsent(header.getName().toLowerCase(Locale.ROOT), name -> new ArrayList<>())
          .add(header.getValue());
    }
    return headers;
  }

  private static String value(HttpResponse head, String name) {
    Header header = head.getFirstHeader(name);
    return header == null ? "" : header.getValue();
  }

  private static long number(String text) {
    try {
      return Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return text.isEmpty() ? 0 : Integer.MAX_VALUE;
    }
  }

  private static HttpHost host(EntryAddress entry) {
    return new HttpHost("http", entry.host(), entry.port());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
