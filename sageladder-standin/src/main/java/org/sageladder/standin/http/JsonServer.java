package org.sageladder.standin.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.NameValuePair;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncResponseBuilder;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.nio.support.BasicServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.URIBuilder;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * A small HTTP server whose answers are JSON and may come later than the request.
 *
 * <pre>{@code
 * JsonServer server = JsonServer.start("127.0.0.1", 0, call -> JsonServer.Reply.json(200, Map.of("up", true)));
 * }</pre>
 */
public final class JsonServer implements AutoCloseable {
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final int IO_THREADS = 2;

  private final HttpAsyncServer server;
  private final ConnectionTable connections;
  private final int port;

  private JsonServer(HttpAsyncServer server, ConnectionTable connections, int port) {
    this.server = server;
    this.connections = connections;
    this.port = port;
  }

  /** Answers one call, at once or later; must not block. */
  @FunctionalInterface
  public interface Handler {
    /** Completes with the reply; a failed future is answered with status 500. */
    CompletableFuture<Reply> handle(Call call);
  }

  /** A request with its whole body. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Call(String method, String path, Map<String, String> query, byte[] body) {
    /** The query parameter {@code name}, or {@code absent} where the request has none. */
    public String query(String name, String absent) {
      return query.getOrDefault(name, absent);
    }

    /** The body read as JSON. */
    public <T> T body(Class<T> type) throws IOException {
      return JSON.readValue(body, type);
    }
  }

  /** An answer, or the decision to give none and cut the connection. */
  @SuppressWarnings("ArrayRecordComponent")
  public record Reply(int status, byte[] body, boolean cut) {
    /** {@code value} as JSON. */
    public static Reply json(int status, Object value) {
      try {
        return new Reply(status, JSON.writeValueAsBytes(value), false);
      } catch (IOException e) {
        throw new IllegalArgumentException("cannot be written as JSON: " + value, e);
      }
    }

    /** No answer: the caller sees its connection close. */
    public static Reply none() {
      return new Reply(0, new byte[0], true);
    }
  }

  /** Listens on {@code port} of {@code host}; 0 picks a free port. */
  public static JsonServer start(String host, int port, Handler handler) throws IOException {
    ConnectionTable connections = ConnectionTable.create(peer -> {});
    Supplier<AsyncServerExchangeHandler> exchanges =
        () -> new BasicServerExchangeHandler<>(new Adapter(handler, connections));
    HttpAsyncServer server =
        AsyncServerBootstrap.bootstrap()
            .setCanonicalHostName(host)
            .setIOReactorConfig(
                IOReactorConfig.custom()
                    .setIoThreadCount(IO_THREADS)
                    .setSoTimeout(ConnectionTable.unlimited())
                    .setSoReuseAddress(true)
                    .setTcpNoDelay(true)
                    .build())
            .setIOSessionListener(connections)
            .setRequestRouter((request, context) -> exchanges)
            .create();
    server.start();
    return new JsonServer(server, connections, listen(server, host, port));
  }

  /** Binds and returns the port; closes {@code server} where it cannot. */
  public static int listen(HttpAsyncServer server, String host, int port) throws IOException {
    try {
      ListenerEndpoint endpoint =
          server.listen(new InetSocketAddress(host, port), URIScheme.HTTP).get();
      return ((InetSocketAddress) endpoint.getAddress()).getPort();
    } catch (ExecutionException e) {
      server.close(CloseMode.IMMEDIATE);
      throw new IOException("cannot listen on " + host + ":" + port, e.getCause());
    } catch (InterruptedException e) {
      server.close(CloseMode.IMMEDIATE);
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + host + ":" + port, e);
    }
  }

  /** The port that callers connect to. */
  public int port() {
    return port;
  }

  /** Cuts every open connection; callers may connect again. */
  public void cutAll() {
    connections.cutAll();
  }

  @Override
  public void close() {
    server.close(CloseMode.IMMEDIATE);
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
        reply = CompletableFuture.completedFuture(badCall(e));
      }
      CompletableFuture<Reply> unused =
          reply.whenComplete((done, failure) -> answer(done, failure, peer, trigger, context));
    }

    private static Reply badCall(Exception e) {
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
        throw new IOException("not a path: " + head.getPath(), e);
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
      if (sent.cut()) {
        connections.cut(peer);
        return;
      }
      try {
        trigger.submitResponse(
            AsyncResponseBuilder.create(sent.status())
                .setEntity(sent.body(), ContentType.APPLICATION_JSON)
                .build(),
            context);
      } catch (HttpException | IOException e) {
        connections.cut(peer);
      }
    }
  }
}
