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

/** Reads one answer and completes only where it is provably whole. */
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

  /** Keeps the body in memory up to {@code mostBytes}, or hands a target's answer to a sink. */
  static BodyConsumer create(@Nullable BodySink sink, long maxBytes) {
    return new BodyConsumer(sink, maxBytes);
  }

  /** A whole answer. */
  @SuppressWarnings("ArrayRecordComponent")
  record ReceivedResponse(HttpResponse head, byte[] body) {}

  /**
   * Ends the flow of pieces for good, after the one that is being taken.
   *
   * <p>Failure guarded against: a try is given up while the I/O thread has a piece of its answer in
   * hand. Handed to the sink after the next try has begun, it would stand twice or in the middle of
   * another answer.
   */
  synchronized void abandon() {
    isAbandoned = true;
  }

  private void checkNotAbandoned() throws IOException {
    if (isAbandoned) {
      throw new IOException("the answer was given up");
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
    BodySink to = sink;
    writesToSink = to != null && EntryClient.isTargetAnswer(response) && acceptsBody(to, response);
    if (to != null && writesToSink) {
      to.begin();
    }
  }

  private static boolean acceptsBody(BodySink to, HttpResponse response) throws IOException {
    return !(to instanceof PartSink parts) || parts.acceptsBody(response);
  }

  /**
   * Failure guarded against: a body that ends with its connection looks the same whole and cut, and
   * the HTTP library reports it as chunked. Entry VMs send none; one from anything in between must
   * not pass for a whole answer, so the headers themselves are asked.
   */
  private static void requireDelimitedBody(HttpResponse response) throws IOException {
    if (!response.containsHeader(HttpHeaders.CONTENT_LENGTH)
        && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING)) {
      throw new IOException("the answer states neither its length nor its end");
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
    BodySink to = sink;
    if (to != null && writesToSink) {
      to.accept(piece);
      return;
    }
    if (buffer.size() + (long) piece.remaining() > maxBytes) {
      throw new IOException("the answer is larger than " + maxBytes + " bytes; pass a sink");
    }
    byte[] bytes = new byte[piece.remaining()];
    piece.get(bytes);
    buffer.writeBytes(bytes);
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    FutureCallback<ReceivedResponse> to = callback;
    HttpResponse response = head;
    if (to != null && response != null) {
      to.completed(new ReceivedResponse(response, buffer.toByteArray()));
    }
  }

  @Override
  public void failed(Exception cause) {
    FutureCallback<ReceivedResponse> to = callback;
    if (to != null) {
      to.failed(cause);
    }
  }

  @Override
  public void releaseResources() {}
}
