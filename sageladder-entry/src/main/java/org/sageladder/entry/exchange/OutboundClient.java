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
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
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
            .setHttpProcessor(withoutExpect())
            .setIOSessionListener(new NoIdleLimit())
            .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setDefaultMaxPerRoute(connectionsPerHost)
            .setMaxTotal(Integer.MAX_VALUE)
            .create();
    requester.start();
    return new OutboundClient(requester);
  }

  /**
   * The library's usual steps but for {@code Expect: 100-continue}, which costs a round trip for
   * each request with a body; targets and entry VMs answer early by themselves.
   */
  private static HttpProcessor withoutExpect() {
    return HttpProcessorBuilder.create()
        .addAll(
            RequestTargetHost.INSTANCE,
            RequestContent.INSTANCE,
            RequestConnControl.INSTANCE,
            new RequestUserAgent("sageladder"))
        .build();
  }

  /**
   * Lifts the limit on silence from new connections. The library keeps the time allowed for
   * connecting as a limit on each later silence, so a target that works for longer than that was
   * cut off as lost. The deadline of the request ends a wait that is too long.
   */
  private static final class NoIdleLimit implements IOSessionListener {
    @Override
    public void connected(IOSession session) {
      session.setSocketTimeout(Timeout.DISABLED);
    }

    @Override
    public void startTls(IOSession session) {}

    @Override
    public void inputReady(IOSession session) {}

    @Override
    public void outputReady(IOSession session) {}

    @Override
    public void timeout(IOSession session) {}

    @Override
    public void exception(IOSession session, Exception cause) {}

    @Override
    public void disconnected(IOSession session) {}
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

  /**
   * Closes connections that have been idle for longer than {@code idle}.
   *
   * <p>Failure guarded against: the other side closes an idle connection in the moment in which a
   * request is sent on it; nobody knows then whether the request was read, and a bid's outcome is
   * "unknown". A connection that this side closes first is in nobody's use.
   */
  public void closeIdle(Duration idle) {
    requester.closeIdle(TimeValue.of(idle));
  }

  @Override
  public void close() {
    requester.close(CloseMode.GRACEFUL);
  }
}
