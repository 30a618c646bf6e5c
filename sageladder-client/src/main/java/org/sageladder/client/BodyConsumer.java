package org.sageladder.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** Reads one response and completes only if the response is provably complete. */
final class BodyConsumer implements AsyncResponseConsumer<BodyConsumer.ReceivedResponse> {
  private final @Nullable BodySink sink;
  private final long maxBytes;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private @Nullable HttpResponse head;
  private @Nullable FutureCallback<ReceivedResponse> callback;
  private boolean writesToSink;
  private boolean isAbandoned;

  private BodyConsumer(@Nullable BodySink sink, long maxBytes) {
    this.sink = sink;
    this.maxBytes = maxBytes;
  }

  /** Buffers up to {@code maxBytes} of the body, or writes a target's response to a sink. */
  static BodyConsumer create(@Nullable BodySink sink, long maxBytes) {
    return new BodyConsumer(sink, maxBytes);
  }

  /** A complete response; the body is empty if a sink received it. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReceivedResponse(HttpResponse head, byte[] body) {}

  /**
   * Rejects all further data, once a call to {@link #consume} that is in progress has returned.
   *
   * <p>Otherwise, if an attempt is abandoned while the I/O thread holds data of its response, that
   * data could reach the sink after the next attempt has started, and would appear twice or in the
   * middle of another response.
   */
  synchronized void abandon() {
    isAbandoned = true;
  }

  private void checkNotAbandoned() throws IOException {
    if (isAbandoned) {
      throw new IOException("the response was abandoned");
    }
  }

  @Override
  public synchronized void consumeResponse(
      HttpResponse response,
      @Nullable EntityDetails entity,
      HttpContext context,
      FutureCallback<ReceivedResponse> resultCallback)
      throws IOException {
    checkNotAbandoned();
    head = response;
    callback = resultCallback;
    if (entity == null) {
      resultCallback.completed(new ReceivedResponse(response, new byte[0]));
      return;
    }
    requireDelimitedBody(response);
    BodySink currentSink = sink;
    writesToSink =
        currentSink != null
            && EntryClient.isTargetAnswer(response)
            && acceptsBody(currentSink, response);
    if (currentSink != null && writesToSink) {
      currentSink.begin();
    }
  }

  private static boolean acceptsBody(BodySink bodySink, HttpResponse response) throws IOException {
    return !(bodySink instanceof PartSink parts) || parts.acceptsBody(response);
  }

  /**
   * Rejects a close-delimited body: it looks the same whether it is complete or truncated, and the
   * HTTP library reports it as chunked, so the headers themselves are checked. Entry VMs never send
   * one, but an intermediary might.
   */
  private static void requireDelimitedBody(HttpResponse response) throws IOException {
    if (!response.containsHeader(HttpHeaders.CONTENT_LENGTH)
        && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING)) {
      throw new IOException("the response has neither Content-Length nor Transfer-Encoding");
    }
  }

  @Override
  public void informationResponse(HttpResponse response, HttpContext context) {}

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
  }

  @Override
  public synchronized void consume(ByteBuffer piece) throws IOException {
    checkNotAbandoned();
    BodySink currentSink = sink;
    if (currentSink != null && writesToSink) {
      currentSink.accept(piece);
      return;
    }
    if (buffer.size() + (long) piece.remaining() > maxBytes) {
      throw new IOException("the response is larger than " + maxBytes + " bytes; use a sink");
    }
    byte[] bytes = new byte[piece.remaining()];
    piece.get(bytes);
    buffer.writeBytes(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    FutureCallback<ReceivedResponse> resultCallback = callback;
    HttpResponse response = head;
    if (resultCallback != null && response != null) {
      resultCallback.completed(new ReceivedResponse(response, buffer.toByteArray()));
    }
  }

  @Override
  public void failed(Exception cause) {
    FutureCallback<ReceivedResponse> resultCallback = callback;
    if (resultCallback != null) {
      resultCallback.failed(cause);
    }
  }

  @Override
  public void releaseResources() {}
}
