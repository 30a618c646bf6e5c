package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;

/**
 * An answer of a target, held until it is whole or too large to hold.
 *
 * <p>While it is held, an answer that breaks off can still be replaced: by another target's where
 * the request may be repeated, by an error otherwise. The caller's connection stays usable.
 */
final class BufferedResponse {
  private final HttpResponse head;
  private final List<ByteBuf> parts = new ArrayList<>();
  private long receivedBytes;

  BufferedResponse(HttpResponse head) {
    this.head = head;
  }

  int status() {
    return head.status().code();
  }

  HttpHeaders headers() {
    return head.headers();
  }

  /** Bytes that came so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  void add(ByteBuf bytes) {
    receivedBytes += bytes.readableBytes();
    parts.add(bytes);
  }

  /** Writes the whole answer, with its length. */
  void writeComplete(CallerConnection to, boolean headOnly, boolean close) {
    HttpResponse answer = responseHead(close);
    boolean bodiless = status() == 204 || status() == 304;
    if (!headOnly && !bodiless) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, receivedBytes);
    }
    to.write(answer);
    writeParts(to);
    to.write(new DefaultLastHttpContent());
  }

  /** Writes the head and what has come of a body that goes on. */
  void writeFirstPart(CallerConnection to, boolean close) {
    HttpResponse answer = responseHead(close);
    if (!HttpUtil.isContentLengthSet(answer)) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    }
    to.write(answer);
    writeParts(to);
  }

  private HttpResponse responseHead(boolean close) {
    HttpHeaders headers = ForwardedHeaders.of(head.headers());
    if (close) {
      headers.set(HttpHeaderNames.CONNECTION, "close");
    }
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
  }

  private void writeParts(CallerConnection to) {
    for (ByteBuf part : parts) {
      to.write(new DefaultHttpContent(part));
    }
    parts.clear();
  }

  void release() {
    parts.forEach(ByteBuf::release);
    parts.clear();
  }
}
