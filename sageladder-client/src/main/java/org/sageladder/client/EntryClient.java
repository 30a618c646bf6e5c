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
import java.util.function.Consumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.result.ResultCode;
import org.sageladder.http.Connector;

/** Makes single attempts, each at one entry VM. */
final class EntryClient implements AutoCloseable {
  private static final String RESULT_HEADER = "Sageladder-Result";
  private static final String OUTCOME_HEADER = "Sageladder-Outcome";
  private static final String LOOK_UP_AGAIN_HEADER = "Sageladder-Look-Up-Again";
  private static final int IO_THREADS = 2;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Connector connector;
  private final ClientOptions options;
  private final Consumer<EntryAddress> onDrainingEntry;

  private EntryClient(
      Connector connector, ClientOptions options, Consumer<EntryAddress> onDrainingEntry) {
    this.connector = connector;
    this.options = options;
    this.onDrainingEntry = onDrainingEntry;
  }

  /**
   * Creates a client that passes each entry VM that announces its stop to {@code onDrainingEntry}.
   */
  static EntryClient start(ClientOptions options, Consumer<EntryAddress> onDrainingEntry) {
    Connector connector = Connector.start(IO_THREADS, options.maxConnectionsPerEntry());
    return new EntryClient(connector, options, onDrainingEntry);
  }

  /** Returns true if the response comes from the target and was only forwarded by the entry VM. */
  static boolean isTargetAnswer(HttpResponse response) {
    return parseResultCode(response).filter(code -> code == ResultCode.OK).isPresent();
  }

  /**
   * Sends a request to {@code entry}.
   *
   * @param remaining time until the caller's deadline, which covers all attempts
   * @param attemptTimeout how long to wait for the complete response to this attempt, at most
   *     {@code remaining}. It is sent to the entry VM, which could otherwise give the request a
   *     slot just before this client times the attempt out and moves to the next entry VM, so that
   *     the run is aborted
   */
  AttemptResult send(
      EntryAddress entry,
      Request request,
      String permit,
      Duration remaining,
      Duration attemptTimeout,
      @Nullable BodySink sink) {
    AsyncRequestBuilder builder =
        AsyncRequestBuilder.create(request.method())
            .setHttpHost(httpHost(entry))
            .setPath("/v1/request/" + request.contract() + "/" + request.service() + request.path())
            .setHeader("Sageladder-Deadline-Millis", millisValue(remaining))
            .setHeader("Sageladder-Try-Millis", millisValue(attemptTimeout))
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
    return exchange(entry, builder.build(), attemptTimeout, sink);
  }

  private static String millisValue(Duration duration) {
    return String.valueOf(Math.max(1, duration.toMillis()));
  }

  /** The result of a look-up. */
  sealed interface LookUpResult {
    /** The entry VM answered with a route. */
    record RouteFound(Route route) implements LookUpResult {}

    /** The look-up failed. */
    record NoRoute(AttemptResult failure) implements LookUpResult {}
  }

  /** Looks up at {@code entry} where to send requests. */
  LookUpResult lookUp(EntryAddress entry, RouteCache.Key key, Duration timeout) {
    AsyncRequestProducer request =
        AsyncRequestBuilder.get()
            .setHttpHost(httpHost(entry))
            .setPath(
                "/v1/look-up?contract="
                    + encode(key.contract())
                    + "&service="
                    + encode(key.service())
                    + "&block="
                    + key.block())
            .build();
    AttemptResult result = exchange(entry, request, timeout, null);
    if (!(result instanceof AttemptResult.Complete complete)) {
      return new LookUpResult.NoRoute(result);
    }
    try {
      return new LookUpResult.RouteFound(parseRoute(JSON.readTree(complete.body())));
    } catch (IOException | IllegalArgumentException e) {
      return new LookUpResult.NoRoute(
          new AttemptResult.Lost(entry + ": not a look-up response: " + e.getMessage()));
    }
  }

  private static Route parseRoute(JsonNode json) {
    List<EntryAddress> entries = new ArrayList<>();
    for (JsonNode entry : json.path("entries")) {
      entries.add(EntryAddress.parse(entry.path("address").asText()));
    }
    if (entries.isEmpty()) {
      throw new IllegalArgumentException("no entry VMs in the look-up response " + json);
    }
    return new Route(
        json.path("revision").asLong(),
        json.path("ttlMillis").asLong(),
        entries,
        json.path("permit").asText(""));
  }

  static String describe(AttemptResult result) {
    if (result instanceof AttemptResult.EntryVmResult entryVmResult) {
      return entryVmResult.code() + ": " + entryVmResult.detail();
    }
    if (result instanceof AttemptResult.NotSent notSent) {
      return notSent.detail();
    }
    return result instanceof AttemptResult.Lost lost ? lost.detail() : "responded";
  }

  private AttemptResult exchange(
      EntryAddress entry, AsyncRequestProducer request, Duration timeout, @Nullable BodySink sink) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    AsyncClientEndpoint endpoint;
    try {
      endpoint = connect(entry, timeout);
    } catch (IOException e) {
      return new AttemptResult.NotSent(entry + ": " + e.getMessage());
    }
    boolean isComplete = false;
    BodyConsumer consumer = BodyConsumer.create(sink, options.maxBodyBytes());
    try {
      Future<BodyConsumer.ReceivedResponse> future =
          endpoint.execute(request, consumer, HttpCoreContext.create(), null);
      BodyConsumer.ReceivedResponse received =
          future.get(Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
      isComplete = true;
      if (received.head().containsHeader(LOOK_UP_AGAIN_HEADER)) {
        onDrainingEntry.accept(entry);
      }
      return toAttemptResult(entry, received);
    } catch (TimeoutException e) {
      return new AttemptResult.Lost(
          entry + ": no complete response within " + timeout.toMillis() + " ms");
    } catch (ExecutionException e) {
      return new AttemptResult.Lost(entry + ": " + e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new AttemptResult.Lost(entry + ": interrupted");
    } finally {
      consumer.abandon();
      release(endpoint, isComplete);
    }
  }

  /**
   * Returns the connection to the pool, or closes it if its response is incomplete: a late response
   * to an abandoned attempt would otherwise be read as the response to the next request.
   */
  private static void release(AsyncClientEndpoint endpoint, boolean isComplete) {
    if (isComplete) {
      endpoint.releaseAndReuse();
    } else {
      endpoint.releaseAndDiscard();
    }
  }

  private AsyncClientEndpoint connect(EntryAddress entry, Duration timeout) throws IOException {
    Duration connectTimeout =
        timeout.compareTo(options.connectTimeout()) < 0 ? timeout : options.connectTimeout();
    return connector.lease(httpHost(entry), connectTimeout);
  }

  private static AttemptResult toAttemptResult(
      EntryAddress entry, BodyConsumer.ReceivedResponse received) {
    HttpResponse head = received.head();
    Optional<ResultCode> code = parseResultCode(head);
    if (code.isEmpty()) {
      return new AttemptResult.Lost(
          entry + ": status " + head.getCode() + " without a result code known to this client");
    }
    if (code.get() == ResultCode.OK) {
      return new AttemptResult.Complete(
          head.getCode(),
          headersByName(head),
          received.body(),
          headerValue(head, "Sageladder-Target"));
    }
    return new AttemptResult.EntryVmResult(
        code.get(),
        Duration.ofMillis(parseNumber(headerValue(head, "Sageladder-Retry-After-Millis"))),
        entry + ": " + parseDetail(received.body()),
        headerValue(head, "Sageladder-Permit"));
  }

  /**
   * Returns the result code; empty if it is unknown or the response states an outcome that
   * contradicts it.
   */
  private static Optional<ResultCode> parseResultCode(HttpResponse head) {
    String text = headerValue(head, RESULT_HEADER);
    int space = text.indexOf(' ');
    long number = parseNumber(space < 0 ? text : text.substring(0, space));
    if (text.isEmpty()) {
      return Optional.empty();
    }
    String outcome = headerValue(head, OUTCOME_HEADER).replace('-', '_').toUpperCase(Locale.ROOT);
    return ResultCode.ofNumber((int) number)
        .filter(code -> outcome.isEmpty() || code.outcome().name().equals(outcome));
  }

  private static String parseDetail(byte[] body) {
    try {
      return JSON.readTree(body).path("detail").asText("");
    } catch (IOException e) {
      return "";
    }
  }

  private static Map<String, List<String>> headersByName(HttpResponse head) {
    Map<String, List<String>> headers = new TreeMap<>();
    for (Header header : head.getHeaders()) {
      headers
          .computeIfAbsent(header.getName().toLowerCase(Locale.ROOT), name -> new ArrayList<>())
          .add(header.getValue());
    }
    return headers;
  }

  private static String headerValue(HttpResponse head, String name) {
    Header header = head.getFirstHeader(name);
    return header == null ? "" : header.getValue();
  }

  private static long parseNumber(String text) {
    try {
      return Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return text.isEmpty() ? 0 : Integer.MAX_VALUE;
    }
  }

  private static HttpHost httpHost(EntryAddress entry) {
    return new HttpHost("http", entry.host(), entry.port());
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  @Override
  public void close() {
    connector.close();
  }
}
