package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * A response of a target, buffered until it is complete or too large to buffer.
 *
 * <p>While it is buffered, a truncated response can still be replaced: by the response of another
 * target if the request is idempotent, by an error response otherwise. The caller's connection
 * stays usable.
 */
final class BufferedResponse {
  private final HttpResponse head;
  private final ByteSegments segments = new ByteSegments();
  private final ResponseMemory memory;
  private long receivedBytes;

  /**
   * Creates a response without a body so far.
   *
   * @param memory counts the bytes that are buffered
   */
  BufferedResponse(HttpResponse head, ResponseMemory memory) {
    this.head = head;
    this.memory = memory;
  }

  int status() {
    return head.status().code();
  }

  HttpHeaders headers() {
    return head.headers();
  }

  /** Bytes of the body received so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Bytes of heap that the response occupies. */
  long heldBytes() {
    return segments.heldBytes() + CompactHeaders.heldBytes(head.headers());
  }

  void add(ByteBuf bytes) {
    receivedBytes += bytes.readableBytes();
    memory.add(bytes.readableBytes());
    segments.add(bytes);
  }

  /** True if the buffered part of the body holds the beginning of a response. */
  boolean bodyContainsStatusLine() {
    StringBuilder body = new StringBuilder();
    segments.appendTo(body, StandardCharsets.ISO_8859_1);
    return ResponseHeadValidator.containsStatusLine(body);
  }

  /** Writes the complete response with its length. */
  void writeComplete(CallerConnection caller, boolean headOnly, boolean close) {
    HttpResponse response = responseHead(close);
    boolean hasNoBody = status() == 204 || status() == 304;
    if (!headOnly && !hasNoBody) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, receivedBytes);
    }
    caller.write(response);
    writeParts(caller);
    caller.write(new DefaultLastHttpContent());
  }

  /** Writes the head and the part of the body received so far. */
  void writeFirstPart(CallerConnection caller, boolean close) {
    HttpResponse response = responseHead(close);
    if (!HttpUtil.isContentLengthSet(response)) {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    caller.write(response);
    writeParts(caller);
  }

  private HttpResponse responseHead(boolean close) {
    HttpHeaders headers = ForwardedHeaders.of(head.headers());
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, "close");
    }
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
  }

  private void writeParts(CallerConnection caller) {
    memory.remove(segments.readableBytes());
    segments.drainTo(caller::writeBody);
  }

  void release() {
    memory.remove(segments.readableBytes());
    segments.release();
  }
}
