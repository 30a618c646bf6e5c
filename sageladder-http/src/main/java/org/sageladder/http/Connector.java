package org.sageladder.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
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
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Pooled HTTP connections whose silence is limited by the deadlines of requests alone.
 *
 * <pre>{@code
 * try (Connector connector = Connector.start(2, 64)) {
 *   AsyncClientEndpoint endpoint = connector.lease(host, Duration.ofSeconds(1));
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class Connector implements AutoCloseable {
  private static final int MAX_LEASE_ATTEMPTS = 3;

  /**
   * How long a connection is used.
   *
   * <p>Failure guarded against: the other side closes an idle connection in the moment in which a
   * request is sent on it; nobody knows then whether the request was read, and a bid's outcome is
   * "unknown". Entry VMs close idle connections after a minute at the earliest.
   */
  private static final Timeout CONNECTION_TTL = Timeout.ofSeconds(50);

  private static final Duration SELECT_INTERVAL = Duration.ofMillis(200);

  private final HttpAsyncRequester requester;

  private Connector(HttpAsyncRequester requester) {
    this.requester = requester;
  }

  /** A started connector with {@code threads} I/O threads and a limit on connections to a host. */
  public static Connector start(int threads, int connectionsPerHost) {
    HttpAsyncRequester requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom()
                    .setIoThreadCount(threads)
                    .setTcpNoDelay(true)
                    .setSelectInterval(TimeValue.of(SELECT_INTERVAL))
                    .build())
            .setHttpProcessor(httpProcessorWithoutExpect())
            .setIOSessionListener(new SocketTimeoutDisabler())
            .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setDefaultMaxPerRoute(connectionsPerHost)
            .setMaxTotal(Integer.MAX_VALUE)
            .setTimeToLive(CONNECTION_TTL)
            .create();
    requester.start();
    return new Connector(requester);
  }

  /**
   * The library's usual steps but for {@code Expect: 100-continue}, which costs a round trip for
   * each request with a body; targets and entry VMs answer early by themselves.
   */
  private static HttpProcessor httpProcessorWithoutExpect() {
    return HttpProcessorBuilder.create()
        .addAll(
            RequestTargetHost.INSTANCE,
            RequestContent.INSTANCE,
            RequestConnControl.INSTANCE,
            new RequestUserAgent("sageladder"))
        .build();
  }

  /**
   * Lifts the limit on silence from new connections.
   *
   * <p>Failure guarded against: the library keeps the time allowed for connecting as a limit on
   * each later silence, so a target that works for longer than that, or a watch that waits, is cut
   * off as lost. The deadline of the request ends a wait that is too long.
   */
  private static final class SocketTimeoutDisabler extends SessionObserver {
    @Override
    public void connected(IOSession session) {
      session.setSocketTimeout(Timeout.DISABLED);
    }
  }

  /** Begins to lease a connection and tells {@code whenDone}; pooled ones may have been closed. */
  public Future<AsyncClientEndpoint> connect(
      HttpHost host, Duration timeout, FutureCallback<AsyncClientEndpoint> callback) {
    return requester.connect(host, Timeout.of(timeout), null, callback);
  }

  /**
   * Leases a live connection within {@code limit}, waiting for it.
   *
   * <p>A pooled connection that the peer has closed since would turn a request that was never sent
   * into one of unknown outcome, so such connections are dropped here, before anything is written.
   *
   * @throws IOException where there is none; nothing was sent
   */
  public AsyncClientEndpoint lease(HttpHost host, Duration timeout) throws IOException {
    for (int tried = 0; tried < MAX_LEASE_ATTEMPTS; tried++) {
      AsyncClientEndpoint endpoint = leaseOnce(host, timeout);
      if (endpoint.isConnected()) {
        return endpoint;
      }
      endpoint.releaseAndDiscard();
    }
    throw new IOException("connections keep closing");
  }

  private AsyncClientEndpoint leaseOnce(HttpHost host, Duration limit) throws IOException {
    Future<AsyncClientEndpoint> future = requester.connect(host, Timeout.of(limit));
    try {
      return future.get(limit.toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      future.cancel(true);
      throw new IOException("no connection within " + limit.toMillis() + " ms", e);
    } catch (ExecutionException e) {
      throw new IOException("no connection: " + e.getCause(), e);
    } catch (InterruptedException e) {
      future.cancel(true);
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while connecting", e);
    }
  }

  /** Lets exchanges that run end, then closes. */
  public void closeGracefully() {
    requester.close(CloseMode.GRACEFUL);
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
