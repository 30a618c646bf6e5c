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
  private final BodyPipe body;
  private final Outbound.Listener listener;
  private final BodyPipe answer = BodyPipe.open();
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Object lock = new Object();
  private @Nullable AsyncClientEndpoint endpoint;
  private boolean abandoned;
  private volatile boolean sent;

  private OutboundExchange(
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      Outbound.Listener listener) {
    this.request = request;
    this.details = details;
    this.body = body;
    this.listener = listener;
  }

  static OutboundExchange create(
      HttpRequest request,
      @Nullable EntityDetails details,
      BodyPipe body,
      Outbound.Listener listener) {
    return new OutboundExchange(request, details, body, listener);
  }

  void start(AsyncClientEndpoint connected) {
    synchronized (lock) {
      endpoint = connected;
      if (abandoned) {
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
      if (abandoned) {
        throw new IOException("abandoned before it was sent");
      }
      sent = true;
    }
    channel.sendRequest(request, details, context);
  }

  @Override
  public int available() {
    return body.available();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    body.produce(channel);
  }

  @Override
  public void consumeInformation(HttpResponse response, HttpContext context) {}

  @Override
  public void consumeResponse(
      HttpResponse response, @Nullable EntityDetails entityDetails, HttpContext context) {
    if (entityDetails != null && isEndless(response)) {
      failed(new IOException("the answer states neither its length nor chunks"));
      return;
    }
    if (entityDetails != null) {
      listener.head(response, entityDetails, answer);
      return;
    }
    if (!release()) {
      return;
    }
    answer.end();
    listener.head(response, null, answer);
    listener.done();
  }

  /**
   * True where only the connection's end marks the end of the body. The HTTP library reports such a
   * body as chunked, and a cut one would reach the caller as a whole one, so it counts as lost.
   */
  private static boolean isEndless(HttpResponse response) {
    return !response.containsHeader(HttpHeaders.CONTENT_LENGTH)
        && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    answer.source(channel);
  }

  @Override
  public void consume(ByteBuffer bytes) throws IOException {
    answer.accept(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    // The connection is given back before the caller can see the end: the caller's going would
    // otherwise cancel an exchange that is whole and close a good connection.
    if (release()) {
      listener.done();
    }
    answer.end();
  }

  @Override
  public void failed(Exception cause) {
    if (!finished.compareAndSet(false, true)) {
      return;
    }
    discard();
    answer.fail(cause);
    listener.lost(sent, cause);
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
    if (!finished.compareAndSet(false, true)) {
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
      abandoned = true;
      known = endpoint;
    }
    if (known != null) {
      known.releaseAndDiscard();
    }
  }
}
