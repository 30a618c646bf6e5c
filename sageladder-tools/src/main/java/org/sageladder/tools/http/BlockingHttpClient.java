package org.sageladder.tools.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/**
 * Blocking GET and POST for tools that ask a few processes a few times.
 *
 * <pre>{@code
 * try (HttpCaller caller = HttpCaller.withTimeout(Duration.ofSeconds(2))) {
 *   String state = caller.get(URI.create("http://127.0.0.1:7301/v1/state")).text();
 * }
 * }</pre>
 */
public final class BlockingHttpClient implements AutoCloseable {
  private final HttpAsyncRequester requester;
  private final Duration timeout;

  private BlockingHttpClient(HttpAsyncRequester requester, Duration timeout) {
    this.requester = requester;
    this.timeout = timeout;
  }

  /** A caller whose calls fail when no whole answer came within {@code timeout}. */
  public static BlockingHttpClient withTimeout(Duration timeout) {
    HttpAsyncRequester requester =
        AsyncRequesterBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true).build())
            .setDefaultMaxPerRoute(8)
            .setMaxTotal(1_000)
            .create();
    requester.start();
    return new BlockingHttpClient(requester, timeout);
  }

  /**
   * The answer to GET, whatever its status.
   *
   * @throws IOException where no whole answer came
   */
  public BufferedHttpResponse get(URI uri) throws IOException {
    return execute(uri, AsyncRequestBuilder.get(uri).build());
  }

  /** The answer to POST of {@code body} with that type, whatever its status. */
  public BufferedHttpResponse post(URI uri, byte[] body, ContentType type) throws IOException {
    return execute(uri, AsyncRequestBuilder.post(uri).setEntity(body, type).build());
  }

  /** The answer to PUT of {@code body} with that type, whatever its status. */
  public BufferedHttpResponse put(URI uri, byte[] body, ContentType type) throws IOException {
    return execute(uri, AsyncRequestBuilder.put(uri).setEntity(body, type).build());
  }

  private BufferedHttpResponse execute(URI uri, AsyncRequestProducer request) throws IOException {
    Future<Message<HttpResponse, byte[]>> future =
        requester.execute(
            request,
            new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
            Timeout.of(timeout),
            null);
    try {
      Message<HttpResponse, byte[]> message = future.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
      byte[] body = message.getBody();
      return new BufferedHttpResponse(
          message.getHead().getCode(), body == null ? new byte[0] : body);
    } catch (ExecutionException e) {
      throw new IOException(uri + ": " + reason(e.getCause()), e);
    } catch (TimeoutException e) {
      future.cancel(true);
      throw new IOException(uri + ": no answer within " + timeout.toMillis() + " ms", e);
    } catch (CancellationException e) {
      // The library cancels an exchange whose thread is interrupted while it gets a connection.
      throw new IOException(uri + ": cancelled", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException(uri + ": interrupted");
    }
  }

  private static String reason(Throwable cause) {
    String message = cause.getMessage();
    return message == null ? cause.getClass().getSimpleName() : message;
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
