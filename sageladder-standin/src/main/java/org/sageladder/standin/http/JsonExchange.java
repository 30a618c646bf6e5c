package org.sageladder.standin.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.NameValuePair;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncResponseBuilder;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.nio.support.BasicServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.net.URIBuilder;
import org.jspecify.annotations.Nullable;

/** A call that is answered with JSON, possibly asynchronously. */
public final class JsonExchange {
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private JsonExchange() {}

  /** Creates an exchange that {@code handler} answers on a connection in {@code connections}. */
  public static AsyncServerExchangeHandler create(Handler handler, ConnectionTable connections) {
    return new BasicServerExchangeHandler<>(new Adapter(handler, connections));
  }

  /** Answers calls, possibly asynchronously; must not block. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Returns a future of the reply. A failed future is answered with status 500, a thrown
     * exception with status 400.
     */
    CompletableFuture<Reply> handle(Call call) throws IOException;
  }

  /** A request with its complete body. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Call(String method, String path, Map<String, String> query, byte[] body) {
    /** Returns the query parameter {@code name}, or {@code defaultValue} if it is absent. */
    public String query(String name, String defaultValue) {
      return query.getOrDefault(name, defaultValue);
    }

    /** Parses the body as JSON. */
    public <T> T body(Class<T> type) throws IOException {
      return JSON.readValue(body, type);
    }
  }

  /** An answer, or the decision to close the connection without one. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Reply(int status, byte[] body, boolean closesConnection) {
    /** Returns an answer with {@code value} as JSON. */
    public static Reply json(int status, Object value) {
      try {
        return new Reply(status, JSON.writeValueAsBytes(value), false);
      } catch (IOException e) {
        throw new IllegalArgumentException("cannot be written as JSON: " + value, e);
      }
    }

    /** Returns a reply that closes the connection without an answer. */
    public static Reply closeConnection() {
      return new Reply(0, new byte[0], true);
    }
  }

  private record Adapter(Handler handler, ConnectionTable connections)
      implements AsyncServerRequestHandler<Message<HttpRequest, byte[]>> {

    @Override
    public AsyncRequestConsumer<Message<HttpRequest, byte[]>> prepare(
        HttpRequest request, @Nullable EntityDetails entity, HttpContext context) {
      return new BasicRequestConsumer<>(entity == null ? null : new BasicAsyncEntityConsumer());
    }

    @Override
    public void handle(
        Message<HttpRequest, byte[]> message, ResponseTrigger trigger, HttpContext context) {
      SocketAddress peer = ConnectionTable.peer(context);
      CompletableFuture<Reply> reply;
      try {
        reply = handler.handle(call(message));
      } catch (IOException | RuntimeException e) {
        reply = CompletableFuture.completedFuture(badRequest(e));
      }
      CompletableFuture<Reply> unused =
          reply.whenComplete((done, failure) -> answer(done, failure, peer, trigger, context));
    }

    private static Reply badRequest(Exception e) {
      return Reply.json(400, Map.of("error", String.valueOf(e.getMessage())));
    }

    private static Call call(Message<HttpRequest, byte[]> message) throws IOException {
      HttpRequest head = message.getHead();
      try {
        URI uri = head.getUri();
        Map<String, String> query = new HashMap<>();
        for (NameValuePair pair : new URIBuilder(uri).getQueryParams()) {
          query.put(pair.getName(), pair.getValue() == null ? "" : pair.getValue());
        }
        byte[] body = message.getBody();
        return new Call(head.getMethod(), uri.getPath(), query, body == null ? new byte[0] : body);
      } catch (URISyntaxException e) {
        throw new IOException("malformed request path: " + head.getPath(), e);
      }
    }

    private void answer(
        @Nullable Reply reply,
        @Nullable Throwable failure,
        SocketAddress peer,
        ResponseTrigger trigger,
        HttpContext context) {
      Reply sent =
          reply != null ? reply : Reply.json(500, Map.of("error", String.valueOf(failure)));
      if (sent.closesConnection()) {
        connections.close(peer);
        return;
      }
      try {
        trigger.submitResponse(
            AsyncResponseBuilder.create(sent.status())
                .setEntity(sent.body(), ContentType.APPLICATION_JSON)
                .build(),
            context);
      } catch (HttpException | IOException e) {
        connections.close(peer);
      }
    }
  }
}
