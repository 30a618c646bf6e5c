package org.sageladder.platform.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.StoreException;
import org.sageladder.http.Connector;

/**
 * Blocking JSON client for one address that distinguishes a call that was never sent from one whose
 * response was lost.
 */
final class JsonHttpClient implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 32;
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final Connector connector;
  private final HttpHost host;
  private final Duration timeout;

  private JsonHttpClient(Connector connector, HttpHost host, Duration timeout) {
    this.connector = connector;
    this.host = host;
    this.timeout = timeout;
  }

  /**
   * Creates a client for {@code base}, such as {@code http://127.0.0.1:4100}; connects at the first
   * call.
   */
  static JsonHttpClient connect(URI base, Duration timeout) {
    if (!"http".equals(base.getScheme()) || base.getHost() == null || base.getPort() < 1) {
      throw new IllegalArgumentException(
          "store address \"" + base + "\": expected http://IP:PORT, such as http://127.0.0.1:4100");
    }
    Connector connector = Connector.start(1, MAX_CONNECTIONS);
    return new JsonHttpClient(
        connector, new HttpHost("http", base.getHost(), base.getPort()), timeout);
  }

  /** The status and body of a response. */
  @SuppressWarnings("ArrayRecordComponent")
  record Response(int status, byte[] body) {
    <T> T read(Class<T> type) throws StoreException {
      try {
        return JSON.readValue(body, type);
      } catch (IOException e) {
        throw new StoreException.OutcomeUnknown(
            "the store's response is not a valid " + type.getSimpleName() + ": " + excerpt(), e);
      }
    }

    private String excerpt() {
      String text = new String(body, StandardCharsets.UTF_8);
      return text.length() <= 200 ? text : text.substring(0, 200) + "...";
    }
  }

  /**
   * Sends a GET request. A read has no effect, so every failure is {@link
   * StoreException.Unavailable}.
   */
  Response read(String pathAndQuery, Duration extraWait) throws StoreException {
    AsyncRequestProducer request = AsyncRequestBuilder.get(uri(pathAndQuery)).build();
    try {
      return call("GET " + pathAndQuery, request, extraWait);
    } catch (StoreException.OutcomeUnknown e) {
      throw new StoreException.Unavailable(e.getMessage(), e);
    }
  }

  /** Sends a POST request with {@code body} as JSON. */
  Response write(String path, Object body) throws StoreException {
    AsyncRequestProducer request =
        AsyncRequestBuilder.post(uri(path))
            .setEntity(toJson(body), ContentType.APPLICATION_JSON)
            .build();
    return call("POST " + path, request, Duration.ZERO);
  }

  private URI uri(String pathAndQuery) {
    return URI.create(host.toURI() + pathAndQuery);
  }

  private static byte[] toJson(Object body) {
    try {
      return JSON.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + body, e);
    }
  }

  private Response call(String operation, AsyncRequestProducer request, Duration extraWait)
      throws StoreException {
    long deadlineNanos = System.nanoTime() + timeout.plus(extraWait).toNanos();
    AsyncClientEndpoint endpoint = leaseEndpoint(operation);
    Message<HttpResponse, byte[]> response = exchange(operation, endpoint, request, deadlineNanos);
    int status = response.getHead().getCode();
    if (status == 503) {
      throw new StoreException.Unavailable(operation + " at " + host + ": refused with 503", null);
    }
    if (status >= 500) {
      throw new StoreException.OutcomeUnknown(
          operation + " at " + host + ": status " + status, null);
    }
    byte[] body = response.getBody();
    return new Response(status, body == null ? new byte[0] : body);
  }

  private AsyncClientEndpoint leaseEndpoint(String operation) throws StoreException {
    try {
      return connector.lease(host, timeout);
    } catch (IOException e) {
      throw new StoreException.Unavailable(operation + " at " + host + ": " + e.getMessage(), e);
    }
  }

  private Message<HttpResponse, byte[]> exchange(
      String operation,
      AsyncClientEndpoint endpoint,
      AsyncRequestProducer request,
      long deadlineNanos)
      throws StoreException {
    boolean isReusable = false;
    try {
      Future<Message<HttpResponse, byte[]>> future =
          endpoint.execute(
              request,
              new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
              HttpCoreContext.create(),
              null);
      Message<HttpResponse, byte[]> response =
          future.get(Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
      isReusable = true;
      return response;
    } catch (TimeoutException e) {
      throw outcomeUnknown(operation, "no response in time", e);
    } catch (ExecutionException e) {
      throw outcomeUnknown(operation, "connection lost before the response", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw outcomeUnknown(operation, "interrupted before the response", e);
    } finally {
      release(endpoint, isReusable);
    }
  }

  /**
   * Releases a connection. One with an abandoned exchange is closed, because its late response must
   * not reach the next exchange.
   */
  private static void release(AsyncClientEndpoint endpoint, boolean isReusable) {
    if (isReusable) {
      endpoint.releaseAndReuse();
    } else {
      endpoint.releaseAndDiscard();
    }
  }

  private StoreException outcomeUnknown(
      String operation, String reason, @Nullable Throwable cause) {
    return new StoreException.OutcomeUnknown(operation + " at " + host + ": " + reason, cause);
  }

  @Override
  public void close() {
    connector.close();
  }
}
