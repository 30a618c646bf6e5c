package org.sageladder.entry.exchange;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.jspecify.annotations.Nullable;
import org.sageladder.http.Connector;

/** Sends requests to targets and to other entry VMs over pooled connections. */
public final class OutboundClient implements RequestSender, AutoCloseable {
  private final Connector connector;

  private OutboundClient(Connector connector) {
    this.connector = connector;
  }

  /**
   * Starts a client.
   *
   * @param connectionsPerHost maximum connections to one target or entry VM
   */
  public static OutboundClient start(int threads, int connectionsPerHost) {
    return new OutboundClient(Connector.start(threads, connectionsPerHost));
  }

  @Override
  public Runnable send(
      HttpHost host,
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      Duration connectTimeout,
      Listener listener) {
    OutboundExchange exchange = OutboundExchange.create(request, details, body, listener);
    Future<AsyncClientEndpoint> connecting =
        connector.connect(
            host,
            connectTimeout,
            new FutureCallback<>() {
              @Override
              public void completed(AsyncClientEndpoint endpoint) {
                exchange.start(endpoint);
              }

              @Override
              public void failed(Exception cause) {
                exchange.failed(cause);
              }

              @Override
              public void cancelled() {
                exchange.failed(new IOException("connecting was cancelled"));
              }
            });
    return () -> {
      connecting.cancel(true);
      exchange.cancel();
    };
  }

  @Override
  public void close() {
    connector.closeGracefully();
  }
}
