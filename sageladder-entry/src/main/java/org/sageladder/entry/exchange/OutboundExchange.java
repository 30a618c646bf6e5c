package org.sageladder.entry.exchange;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;

/**
 * One request to a target or entry VM on a connection of its own until the answer is whole.
 *
 * <p>Only a connection whose answer was read to its checked end goes back to the pool. Any other is
 * closed: a late answer on a reused connection would reach the next caller.
 */
final class OutboundExchange implements AsyncClientExchangeHandler {
  private final HttpRequest request;
  private final @Nullable EntityDetails details;
  private final BodyPipe requestBody;
  private final RequestSender.Listener listener;
  private final BodyPipe responseBody = BodyPipe.open();
  private final AtomicBoolean isFinished = new AtomicBoolean();
  private final Object lock = new Object();
  private @Nullable AsyncClientEndpoint endpoint;
  private boolean isAbandoned;
  private volatile boolean isSent;

  private OutboundExchange(
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      RequestSender.Listener listener) {
    this.request = request;
    this.details = details;
    this.requestBody = body;
    this.listener = listener;
  }

  static OutboundExchange create(
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      RequestSender.Listener listener) {
    return new OutboundExchange(request, details, body, listener);
  }

  void start(AsyncClientEndpoint connected) {
    synchronized (lock) {
      endpoint = connected;
      if (isAbandoned) {
        connected.releaseAndDiscard();
        return;
      }
    }
    connected.execute(this, null, HttpCoreContext.create());
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    synchronized (lock) {
      if (isAbandoned) {
        throw new IOException("abandoned before it was sent");
      }
      isSent = true;
    }
    channel.sendRequest(request, details, context);
  }

  @Override
  public int available() {
    return requestBody.available();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    requestBody.produce(channel);
  }

  @Override
  public void consumeInformation(HttpResponse response, HttpContext context) {}

  @Override
  public void consumeResponse(
      HttpResponse response, @Nullable EntityDetails entityDetails, HttpContext context) {
    if (entityDetails != null && isCloseDelimited(response)) {
      failed(new IOException("the answer states neither its length nor chunks"));
      return;
    }
    if (entityDetails != null) {
      listener.onResponse(response, entityDetails, responseBody);
      return;
    }
    if (!release()) {
      return;
    }
    responseBody.complete();
    listener.onResponse(response, null, responseBody);
    listener.onComplete();
  }

  /**
   * True where only the connection's end marks the end of the body. The HTTP library reports such a
   * body as chunked, and a cut one would reach the caller as a whole one, so it counts as lost.
   */
  private static boolean isCloseDelimited(HttpResponse response) {
    return !response.containsHeader(HttpHeaders.CONTENT_LENGTH)
        && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    responseBody.setSource(channel);
  }

  @Override
  public void consume(ByteBuffer bytes) throws IOException {
    responseBody.accept(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    // The connection is given back before the caller can see the end: the caller's going would
    // otherwise cancel an exchange that is whole and close a good connection.
    if (release()) {
      listener.onComplete();
    }
    responseBody.complete();
  }

  @Override
  public void failed(Exception cause) {
    if (!isFinished.compareAndSet(false, true)) {
      return;
    }
    discard();
    responseBody.fail(cause);
    listener.onFailure(isSent, cause);
  }

  @Override
  public void cancel() {
    failed(new IOException("the exchange was cancelled"));
  }

  @Override
  public void releaseResources() {
    failed(new IOException("the connection ended before the answer was whole"));
  }

  /** Gives the connection back for reuse; false where the exchange had already ended. */
  private boolean release() {
    if (!isFinished.compareAndSet(false, true)) {
      return false;
    }
    AsyncClientEndpoint known;
    synchronized (lock) {
      known = endpoint;
    }
    if (known != null) {
      known.releaseAndReuse();
    }
    return true;
  }

  private void discard() {
    AsyncClientEndpoint known;
    synchronized (lock) {
      isAbandoned = true;
      known = endpoint;
    }
    if (known != null) {
      known.releaseAndDiscard();
    }
  }
}
