package org.sageladder.entry.http;

import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.function.Decorator;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpResponseInterceptor;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.nio.support.DefaultAsyncResponseExchangeHandlerFactory;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.sageladder.core.result.ResultCode;
import org.sageladder.entry.request.Headers;
import org.sageladder.entry.request.LocalReplies;
import org.sageladder.http.StrictMessageParser;
import org.sageladder.platform.http.DisconnectDetectingSession;
import org.sageladder.platform.http.LingeringSession;

/** An HTTP server on one port of an entry VM. */
public final class HttpListener implements AutoCloseable {
  private static final int HEAD_TO_LINE_RATIO = 2;
  private static final int MAX_HEADERS = 100;

  /** A connection has a buffer of this size for each direction, and longer ones for long lines. */
  private static final int BUFFER_BYTES = 2 << 10;

  /** Bytes of a body that may be read before they are written to a target. */
  private static final int BODY_WINDOW_BYTES = 8 << 10;

  /** Connections allowed for each one that may wait for its caller to close it. */
  private static final int CONNECTION_TO_LINGERING_RATIO = 8;

  private final HttpAsyncServer server;
  private final int port;
  private final ConnectionLimiter connectionLimiter;

  private HttpListener(HttpAsyncServer server, int port, ConnectionLimiter connectionLimiter) {
    this.connectionLimiter = connectionLimiter;
    this.server = server;
    this.port = port;
  }

  /**
   * Opens a port.
   *
   * @param port 0 lets the operating system choose
   * @throws java.net.BindException if the port is in use
   */
  public static HttpListener open(
      String host, int port, ConnectionLimits limits, Supplier<AsyncServerExchangeHandler> handlers)
      throws java.io.IOException, InterruptedException {
    ConnectionLimiter connectionLimiter = new ConnectionLimiter(limits.maxConnections());
    HttpAsyncServer server = createServer(limits, connectionLimiter, handlers);
    server.start();
    try {
      ListenerEndpoint endpoint =
          server.listen(new InetSocketAddress(host, port), URIScheme.HTTP).get();
      int opened = ((InetSocketAddress) endpoint.getAddress()).getPort();
      return new HttpListener(server, opened, connectionLimiter);
    } catch (ExecutionException e) {
      server.close(CloseMode.IMMEDIATE);
      throw new java.io.IOException(
          "cannot listen on " + host + ":" + port + ": " + e.getCause().getMessage(), e.getCause());
    }
  }

  private static HttpAsyncServer createServer(
      ConnectionLimits limits,
      ConnectionLimiter connectionLimiter,
      Supplier<AsyncServerExchangeHandler> handlers) {
    Http1Config config =
        Http1Config.custom()
            .setMaxLineLength(limits.maxHeadBytes() / HEAD_TO_LINE_RATIO)
            .setMaxHeaderCount(MAX_HEADERS)
            .setBufferSize(BUFFER_BYTES)
            .setInitialWindowSize(BODY_WINDOW_BYTES)
            .build();
    ServerHttp1StreamDuplexerFactory streams =
        new ServerHttp1StreamDuplexerFactory(
            HttpProcessors.customServer("sageladder")
                .addFirst(RequestFramingValidator.create())
                .add(new MergedRequestValidator())
                .addLast(resultHeaderInterceptor())
                .build(),
            new DefaultAsyncResponseExchangeHandlerFactory(
                (request, context) -> handlers, BasicAsyncServerExpectationDecorator::new),
            config,
            CharCodingConfig.DEFAULT,
            DefaultConnectionReuseStrategy.INSTANCE,
            StrictMessageParser.requests(config, limits.maxHeadBytes()),
            new DefaultHttpResponseWriterFactory(config),
            RequestFramingValidator.contentLengthStrategy(),
            DefaultContentLengthStrategy.INSTANCE,
            null,
            null);
    return new HttpAsyncServer(
        PipelineLimiter.decorate(
            IdleConnectionHandler.decorate(
                new ServerHttp1IOEventHandlerFactory(streams, null, null))),
        IOReactorConfig.custom()
            .setIoThreadCount(limits.workerThreads())
            .setSoTimeout(Timeout.of(limits.idleTimeout()))
            .setTcpNoDelay(true)
            .setSoReuseAddress(true)
            .setBacklogSize(1024)
            .setSelectInterval(TimeValue.ofMilliseconds(200))
            .build(),
        sessionDecorator(limits),
        null,
        connectionLimiter,
        null,
        null,
        null);
  }

  private static Decorator<IOSession> sessionDecorator(ConnectionLimits limits) {
    int maxLingering = Math.max(1, limits.maxConnections() / CONNECTION_TO_LINGERING_RATIO);
    Decorator<IOSession> lingering = LingeringSession.decorator(maxLingering);
    return session -> lingering.decorate(DisconnectDetectingSession.decorator().decorate(session));
  }

  /**
   * Adds a result code to the error responses that the HTTP library sends for malformed requests.
   */
  private static HttpResponseInterceptor resultHeaderInterceptor() {
    return (response, entity, context) -> {
      if (response.getCode() < 400 || response.containsHeader(Headers.RESULT)) {
        return;
      }
      addResultHeaders(response, RequestFramingValidator.isRejected(context));
    };
  }

  private static void addResultHeaders(HttpResponse response, boolean hasInvalidLength) {
    if (hasInvalidLength) {
      LocalReplies.addResultHeaders(response, ResultCode.BODY_LENGTH_INVALID);
      return;
    }
    boolean isHeadTooLarge = response.getCode() == 431;
    LocalReplies.addResultHeaders(
        response, isHeadTooLarge ? ResultCode.HEAD_TOO_LARGE : ResultCode.MALFORMED_REQUEST);
  }

  /** The port on which this server listens. */
  public int port() {
    return port;
  }

  /** Number of open connections. */
  public int openConnectionCount() {
    return connectionLimiter.openCount();
  }

  /** Number of connections closed at once because the limit was reached. */
  public long refusedConnectionCount() {
    return connectionLimiter.refusedCount();
  }

  /** Closes all connections without an exchange, and the remaining ones after {@code grace}. */
  public void stop(Timeout grace) throws InterruptedException {
    server.initiateShutdown();
    server.awaitShutdown(grace);
    server.close(CloseMode.GRACEFUL);
  }

  @Override
  public void close() {
    server.close(CloseMode.IMMEDIATE);
  }
}
