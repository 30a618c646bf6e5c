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
 * Blocking HTTP client for tools that make a few calls to a few processes.
 *
 * <pre>{@code
 * try (BlockingHttpClient client = BlockingHttpClient.withTimeout(Duration.ofSeconds(2))) {
 *   String state = client.get(URI.create("http://127.0.0.1:7301/v1/state")).text();
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

  /** Creates a client whose calls fail if no complete response arrives within {@code timeout}. */
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
   * Returns the response to a GET request, whatever its status.
   *
   * @throws IOException if no complete response arrived
   */
  public BufferedHttpResponse get(URI uri) throws IOException {
    return execute(uri, AsyncRequestBuilder.get(uri).build());
  }

  /** Returns the response to a POST request with {@code body}, whatever its status. */
  public BufferedHttpResponse post(URI uri, byte[] body, ContentType type) throws IOException {
    return execute(uri, AsyncRequestBuilder.post(uri).setEntity(body, type).build());
  }

  /** Returns the response to a PUT request with {@code body}, whatever its status. */
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
      // HttpCore cancels an exchange if its thread is interrupted while it acquires a connection.
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
