package org.sageladder.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.DefaultDisposalCallback;
import org.apache.hc.core5.pool.LaxConnPool;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Pooled HTTP connections without a socket timeout; only the deadline of a request limits the wait.
 *
 * <pre>{@code
 * try (Connector connector = Connector.start(2, 64)) {
 *   AsyncClientEndpoint endpoint = connector.lease(host, Duration.ofSeconds(1));
 * }
 * }</pre>
 *
 * <p>This class is thread-safe.
 */
public final class Connector implements AutoCloseable {
  private static final int MAX_LEASE_ATTEMPTS = 3;

  /**
   * Maximum age of a pooled connection.
   *
   * <p>Shorter than the idle timeout of entry VMs, which is at least one minute. If the peer closed
   * an idle connection just when a request is sent on it, it would be unknown whether the request
   * was read, and the outcome of a bid would be "unknown".
   */
  private static final Timeout CONNECTION_TTL = Timeout.ofSeconds(50);

  private static final Duration SELECT_INTERVAL = Duration.ofMillis(200);

  private final HttpAsyncRequester requester;

  private Connector(HttpAsyncRequester requester) {
    this.requester = requester;
  }

  /**
   * Starts a connector with {@code threads} I/O threads and at most {@code connectionsPerHost}
   * connections to each host.
   */
  public static Connector start(int threads, int connectionsPerHost) {
    HttpAsyncRequester requester =
        new HttpAsyncRequester(
            IOReactorConfig.custom()
                .setIoThreadCount(threads)
                .setTcpNoDelay(true)
                .setSelectInterval(TimeValue.of(SELECT_INTERVAL))
                .build(),
            new ClientHttp1IOEventHandlerFactory(
                exchangeFactory(), /* tlsStrategy= */ null, /* handshakeTimeout= */ null),
            /* ioSessionDecorator= */ null,
            /* exceptionCallback= */ null,
            new SocketTimeoutDisabler(),
            new LaxConnPool<>(
                connectionsPerHost,
                CONNECTION_TTL,
                PoolReusePolicy.LIFO,
                new DefaultDisposalCallback<>(),
                /* connPoolListener= */ null),
            /* tlsStrategy= */ null,
            /* handshakeTimeout= */ null,
            /* threadPoolListener= */ null,
            /* workerSelector= */ null);
    requester.start();
    return new Connector(requester);
  }

  private static ClientHttp1StreamDuplexerFactory exchangeFactory() {
    return new ClientHttp1StreamDuplexerFactory(
        httpProcessor(),
        Http1Config.DEFAULT,
        CharCodingConfig.DEFAULT,
        DefaultConnectionReuseStrategy.INSTANCE,
        StrictMessageParser.responses(Http1Config.DEFAULT),
        DefaultHttpRequestWriterFactory.INSTANCE,
        /* streamListener= */ null);
  }

  /**
   * Returns the library's default processors and a check of response heads, without the one for
   * {@code Expect: 100-continue}, which costs a round trip for each request with a body. Targets
   * and entry VMs can respond before the end of a body without it.
   */
  private static HttpProcessor httpProcessor() {
    return HttpProcessorBuilder.create()
        .addAll(
            RequestTargetHost.INSTANCE,
            RequestContent.INSTANCE,
            RequestConnControl.INSTANCE,
            new RequestUserAgent("sageladder"))
        .add(new ResponseHeadValidator())
        .build();
  }

  /**
   * Disables the socket timeout of new connections.
   *
   * <p>The library uses the connect timeout as the socket timeout too. A target that takes longer
   * than that to respond, or a waiting watch, would be disconnected and treated as lost. The
   * deadline of the request limits the wait instead.
   */
  private static final class SocketTimeoutDisabler extends SessionObserver {
    @Override
    public void connected(IOSession session) {
      session.setSocketTimeout(Timeout.DISABLED);
    }
  }

  /**
   * Starts leasing a connection and notifies {@code callback}; the peer may have closed a pooled
   * connection.
   */
  public Future<AsyncClientEndpoint> connect(
      HttpHost host, Duration timeout, FutureCallback<AsyncClientEndpoint> callback) {
    return requester.connect(host, Timeout.of(timeout), null, callback);
  }

  /**
   * Leases an open connection, waiting for it up to {@code timeout}.
   *
   * <p>With a pooled connection that the peer has closed, a request that was never sent would have
   * an unknown outcome. Such connections are discarded here, before anything is written.
   *
   * @throws IOException if no connection is available; nothing was sent
   */
  public AsyncClientEndpoint lease(HttpHost host, Duration timeout) throws IOException {
    for (int attempt = 0; attempt < MAX_LEASE_ATTEMPTS; attempt++) {
      AsyncClientEndpoint endpoint = leaseOnce(host, timeout);
      if (endpoint.isConnected()) {
        return endpoint;
      }
      endpoint.releaseAndDiscard();
    }
    throw new IOException("all leased connections were already closed by the peer");
  }

  private AsyncClientEndpoint leaseOnce(HttpHost host, Duration timeout) throws IOException {
    Future<AsyncClientEndpoint> future = requester.connect(host, Timeout.of(timeout));
    try {
      return future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException e) {
      future.cancel(true);
      throw new IOException("no connection within " + timeout.toMillis() + " ms", e);
    } catch (ExecutionException e) {
      throw new IOException("no connection: " + e.getCause(), e);
    } catch (InterruptedException e) {
      future.cancel(true);
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while connecting", e);
    }
  }

  /** Waits for running exchanges to end, then closes. */
  public void closeGracefully() {
    requester.close(CloseMode.GRACEFUL);
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
