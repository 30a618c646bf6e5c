package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Writes the response to one request once all earlier requests on its connection are answered, and
 * decides whether the connection ends with it.
 */
final class ResponseTurn {
  /** A response up to this size is buffered until complete; see {@link BufferedResponse}. */
  private static final long MAX_BUFFERED_BYTES = 256 << 10;

  /** Heap of a request and an attempt without their heads and bodies. */
  private static final long REQUEST_BYTES = 2 << 10;

  private final Forwarder forwarder;
  private final CallerConnection caller;
  private final Exchange exchange;
  private final HttpRequest head;
  private final BufferedBody body;
  private @Nullable PendingResponse pendingResponse;
  private boolean isStreaming;
  private boolean isBodyAskedFor;

  ResponseTurn(
      Forwarder forwarder,
      CallerConnection caller,
      Exchange exchange,
      HttpRequest head,
      BufferedBody body) {
    this.forwarder = forwarder;
    this.caller = caller;
    this.exchange = exchange;
    this.head = head;
    this.body = body;
  }

  /** A response that waits; {@code discard} releases what it holds if it is never written. */
  private record PendingResponse(Runnable write, Runnable discard, long heldBytes) {}

  /** Runs {@code writeResponse} now, or once it is this request's turn. */
  void run(Runnable writeResponse) {
    run(writeResponse, () -> {}, 0);
  }

  /**
   * Runs {@code writeResponse} now, or once it is this request's turn; {@code discard} in its place
   * if the caller leaves before.
   *
   * @param heldBytes bytes of heap that the response occupies until then
   */
  void run(Runnable writeResponse, Runnable discard, long heldBytes) {
    if (caller.isDue(exchange)) {
      writeResponse.run();
      return;
    }
    pendingResponse = new PendingResponse(writeResponse, discard, heldBytes);
  }

  /**
   * Asks the caller for the body if it waits for that and it is this request's turn; before, the
   * interim response would stand in the response to another request.
   */
  void askForBody() {
    if (isBodyAskedFor || body.isComplete() || !caller.isDue(exchange)) {
      return;
    }
    isBodyAskedFor = true;
    if (HttpUtil.is100ContinueExpected(head)) {
      caller.writeContinue();
    }
  }

  /** Bytes of heap of the request, and of a response that waits for its turn. */
  long heldBytes() {
    PendingResponse pending = pendingResponse;
    long headBytes = CompactHeaders.heldBytes(head.headers()) + head.uri().length();
    long responseBytes = pending == null ? 0 : pending.heldBytes();
    return REQUEST_BYTES + headBytes + body.heldBytes() + responseBytes;
  }

  /** True if a response waits for its turn. */
  boolean isWaiting() {
    return pendingResponse != null;
  }

  /** Drops the response that waits for its turn. */
  void drop() {
    PendingResponse dropped = pendingResponse;
    pendingResponse = null;
    if (dropped != null) {
      dropped.discard().run();
    }
  }

  /** Writes the response that waited for its turn; false if there is none. */
  boolean runPending() {
    PendingResponse pending = pendingResponse;
    pendingResponse = null;
    if (pending == null) {
      return false;
    }
    pending.write().run();
    return true;
  }

  /** True once part of the response was written. */
  boolean isStreaming() {
    return isStreaming;
  }

  /** Buffers bytes of the response, or writes them if it is large; takes ownership of them. */
  void receive(Attempt from, BufferedResponse response, ByteBuf bytes) {
    if (isStreaming) {
      caller.writeBody(bytes);
      caller.flush();
      from.setReading(caller.isWritable());
      return;
    }
    response.add(bytes);
    if (response.receivedBytes() <= MAX_BUFFERED_BYTES && !forwarder.responseMemory().isFull()) {
      return;
    }
    if (!caller.isDue(exchange)) {
      from.setReading(false);
      return;
    }
    isStreaming = true;
    response.writeFirstPart(caller, mustClose());
    caller.flush();
    from.setReading(caller.isWritable());
  }

  /** True if the connection ends with this response. */
  boolean mustClose() {
    boolean closesForShutdown = forwarder.shutdown().hasBegun() && caller.isLast(exchange);
    return closesForShutdown || !HttpUtil.isKeepAlive(head) || isBodyIncomplete();
  }

  /**
   * True if part of the body is still to be received, so that the start of the next request is
   * unknown.
   */
  private boolean isBodyIncomplete() {
    boolean hasBody =
        HttpUtil.isTransferEncodingChunked(head) || HttpUtil.getContentLength(head, 0L) > 0;
    return hasBody && !body.isComplete();
  }
}
