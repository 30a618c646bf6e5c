package org.sageladder.standin.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.sageladder.http.SessionObserver;

/**
 * Open connections by the caller's address, so that a fault can close the connection of a request.
 *
 * <p>Thread-safe.
 */
public final class ConnectionTable extends SessionObserver {
  private final Map<SocketAddress, IOSession> sessionsByPeer = new ConcurrentHashMap<>();
  private final Consumer<SocketAddress> onClosed;

  private ConnectionTable(Consumer<SocketAddress> onClosed) {
    this.onClosed = onClosed;
  }

  /** Creates an empty table that calls {@code onClosed} for each connection that closes. */
  public static ConnectionTable create(Consumer<SocketAddress> onClosed) {
    return new ConnectionTable(onClosed);
  }

  /** Returns the caller's address of the connection that {@code context} belongs to. */
  public static SocketAddress peer(HttpContext context) {
    EndpointDetails details = HttpCoreContext.cast(context).getEndpointDetails();
    if (details == null) {
      throw new IllegalStateException("the request has no connection");
    }
    return details.getRemoteAddress();
  }

  /** Closes the connection from {@code peer} immediately, even with requests in flight. */
  public void close(SocketAddress peer) {
    IOSession session = sessionsByPeer.get(peer);
    if (session != null) {
      session.close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes all connections immediately. */
  public void closeAll() {
    sessionsByPeer.values().forEach(session -> session.close(CloseMode.IMMEDIATE));
  }

  /** Returns the number of open connections. */
  public int size() {
    return sessionsByPeer.size();
  }

  @Override
  public void connected(IOSession session) {
    sessionsByPeer.put(session.getRemoteAddress(), session);
  }

  @Override
  public void disconnected(IOSession session) {
    SocketAddress peer = session.getRemoteAddress();
    if (peer != null && sessionsByPeer.remove(peer) != null) {
      onClosed.accept(peer);
    }
  }
}
