package org.sageladder.standin.http;

import java.io.IOException;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;

/**
 * A small HTTP server that answers calls with JSON, possibly asynchronously.
 *
 * <pre>{@code
 * JsonServer server = JsonServer.start("127.0.0.1", 0, call -> JsonExchange.Reply.json(200, Map.of("up", true)));
 * }</pre>
 */
public final class JsonServer implements AutoCloseable {
  private static final int IO_THREADS = 2;

  private final HttpAsyncServer server;
  private final ConnectionTable connections;
  private final int port;

  private JsonServer(HttpAsyncServer server, ConnectionTable connections, int port) {
    this.server = server;
    this.connections = connections;
    this.port = port;
  }

  /** Starts a server on {@code port} of {@code host}; 0 picks a free port. */
  public static JsonServer start(String host, int port, JsonExchange.Handler handler)
      throws IOException {
    ConnectionTable connections = ConnectionTable.create(peer -> {});
    HttpAsyncServer server =
        Listeners.server(
            IO_THREADS,
            connections,
            (request, context) -> () -> JsonExchange.create(handler, connections));
    server.start();
    try {
      int boundPort = Listeners.port(Listeners.bind(server, host, port));
      return new JsonServer(server, connections, boundPort);
    } catch (IOException e) {
      server.close(CloseMode.IMMEDIATE);
      throw e;
    }
  }

  /** Returns the port that it listens on. */
  public int port() {
    return port;
  }

  /** Closes all open connections immediately; callers may connect again. */
  public void closeConnections() {
    connections.closeAll();
  }

  @Override
  public void close() {
    server.close(CloseMode.IMMEDIATE);
  }
}
