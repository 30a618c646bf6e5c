package org.sageladder.entry.exchange;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Sends requests to targets and to other entry VMs over pooled connections. */
public final class OutboundClient implements Outbound, AutoCloseable {
  private final HttpAsyncRequester requester;

  private OutboundClient(HttpAsyncRequester requester) {
    this.requester = requester;
  }

  /**
   * A started client.
   *
   * @param connectionsPerHost most connections to one target or entry VM
   */
  public static OutboundClient start(int threads, int connectionsPerHost) {
    HttpAsyncRequester requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom()
                    .setIoThreadCount(threads)
                    .setTcpNoDelay(true)
                    .setSelectInterval(TimeValue.ofMilliseconds(200))
                    .build())
            .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setDefaultMaxPerRoute(connectionsPerHost)
            .setMaxTotal(Integer.MAX_VALUE)
            .create();
    requester.start();
    return new OutboundClient(requester);
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
        requester.connect(
            host,
            Timeout.of(connectTimeout),
            null,
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

  /** Closes connections that have been idle for longer than {@code idle}. */
  public void closeIdle(Duration idle) {
    requester.closeIdle(TimeValue.of(idle));
  }

  @Override
  public void close() {
    requester.close(CloseMode.GRACEFUL);
  }
}
