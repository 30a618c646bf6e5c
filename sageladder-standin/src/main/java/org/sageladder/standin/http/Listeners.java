package org.sageladder.standin.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.function.Decorator;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.HttpRequestMapper;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.Timeout;
import org.sageladder.platform.http.DisconnectDetectingSession;
import org.sageladder.platform.http.LingeringSession;

/** Creates and binds the HTTP servers of the stand-ins. */
public final class Listeners {
  private static final int MAX_LINGERING_CONNECTIONS = 64;

  private Listeners() {}

  /** Creates a server, not yet started, without an idle timeout for its connections. */
  public static HttpAsyncServer server(
      int ioThreads,
      ConnectionTable connections,
      HttpRequestMapper<Supplier<AsyncServerExchangeHandler>> router) {
    Decorator<IOSession> lingering = LingeringSession.decorator(MAX_LINGERING_CONNECTIONS);
    return AsyncServerBootstrap.bootstrap()
        .setCanonicalHostName("localhost")
        .setIOReactorConfig(
            IOReactorConfig.custom()
                .setIoThreadCount(ioThreads)
                .setSoTimeout(Timeout.DISABLED)
                .setSoReuseAddress(true)
                .setTcpNoDelay(true)
                .build())
        .setIOSessionDecorator(
            session -> lingering.decorate(DisconnectDetectingSession.decorator().decorate(session)))
        .setIOSessionListener(connections)
        .setRequestRouter(router)
        .create();
  }

  /** Binds a started server to a port; 0 picks a free one. */
  public static ListenerEndpoint bind(HttpAsyncServer server, String host, int port)
      throws IOException {
    try {
      return server.listen(new InetSocketAddress(host, port), URIScheme.HTTP).get();
    } catch (ExecutionException e) {
      throw new IOException("cannot listen on " + host + ":" + port, e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + host + ":" + port, e);
    }
  }

  /** Returns the port that {@code endpoint} listens on. */
  public static int port(ListenerEndpoint endpoint) {
    return ((InetSocketAddress) endpoint.getAddress()).getPort();
  }
}
