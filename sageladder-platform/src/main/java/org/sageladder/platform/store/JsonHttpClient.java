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
 * Blocking JSON calls to one address, which tell a call that was never sent from one whose answer
 * was lost.
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

  /** Calls to {@code base}, such as {@code http://127.0.0.1:4100}; connects at the first call. */
  static JsonHttpClient connect(URI base, Duration timeout) {
    if (!"http".equals(base.getScheme()) || base.getHost() == null || base.getPort() < 1) {
      throw new IllegalArgumentException(
          "store address \"" + base + "\": expected http://IP:PORT, such as http://127.0.0.1:4100");
    }
    Connector connector = Connector.start(1, MAX_CONNECTIONS);
    return new JsonHttpClient(
        connector, new HttpHost("http", base.getHost(), base.getPort()), timeout);
  }

  /** The status and body of an answer. */
  @SuppressWarnings("ArrayRecordComponent")
  record Response(int status, byte[] body) {
    <T> T read(Class<T> type) throws StoreException {
      try {
        return JSON.readValue(body, type);
      } catch (IOException e) {
        throw new StoreException.OutcomeUnknown(
            "the store's answer is no " + type.getSimpleName() + ": " + excerpt(), e);
      }
    }

    private String excerpt() {
      String text = new String(body, StandardCharsets.UTF_8);
      return text.length() <= 200 ? text : text.substring(0, 200) + "...";
    }
  }

  /** Reads; no effect is possible, so every failure is {@link StoreException.Unavailable}. */
  Response read(String pathAndQuery, Duration extraWait) throws StoreException {
    AsyncRequestProducer request = AsyncRequestBuilder.get(uri(pathAndQuery)).build();
    try {
      return call("GET " + pathAndQuery, request, extraWait);
    } catch (StoreException.OutcomeUnknown e) {
      throw new StoreException.Unavailable(e.getMessage(), e);
    }
  }

  /** Sends {@code body} as JSON. */
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

  private Response call(String what, AsyncRequestProducer request, Duration extraWait)
      throws StoreException {
    long deadline = System.nanoTime() + timeout.plus(extraWait).toNanos();
    AsyncClientEndpoint endpoint = leaseEndpoint(what);
    Message<HttpResponse, byte[]> answer = exchange(what, endpoint, request, deadline);
    int status = answer.getHead().getCode();
    if (status == 503) {
      throw new StoreException.Unavailable(what + " at " + host + ": refused with 503", null);
    }
    if (status >= 500) {
      throw new StoreException.OutcomeUnknown(what + " at " + host + ": status " + status, null);
    }
    byte[] body = answer.getBody();
    return new Response(status, body == null ? new byte[0] : body);
  }

  private AsyncClientEndpoint leaseEndpoint(String what) throws StoreException {
    try {
      return connector.lease(host, timeout);
    } catch (IOException e) {
      throw new StoreException.Unavailable(what + " at " + host + ": " + e.getMessage(), e);
    }
  }

  private Message<HttpResponse, byte[]> exchange(
      String what, AsyncClientEndpoint endpoint, AsyncRequestProducer request, long deadline)
      throws StoreException {
    boolean reusable = false;
    try {
      Future<Message<HttpResponse, byte[]>> future =
          endpoint.execute(
              request,
              new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
              HttpCoreContext.create(),
              null);
      Message<HttpResponse, byte[]> answer =
          future.get(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
      reusable = true;
      return answer;
    } catch (TimeoutException e) {
      throw outcomeUnknown(what, "no answer in time", e);
    } catch (ExecutionException e) {
      throw outcomeUnknown(what, "connection lost before the answer", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw outcomeUnknown(what, "interrupted before the answer", e);
    } finally {
      release(endpoint, reusable);
    }
  }

  /** A connection with an abandoned exchange is closed: its late answer must reach nobody. */
  private static void release(AsyncClientEndpoint endpoint, boolean reusable) {
    if (reusable) {
      endpoint.releaseAndReuse();
    } else {
      endpoint.releaseAndDiscard();
    }
  }

  private StoreException outcomeUnknown(String what, String why, @Nullable Throwable cause) {
    return new StoreException.OutcomeUnknown(what + " at " + host + ": " + why, cause);
  }

  @Override
  public void close() {
    connector.close();
  }
}
