package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The body of a request. A small body is buffered completely so that it can be sent again; a larger
 * one is streamed and can be sent only once.
 */
final class BufferedBody {
  /** Most bodies are a few kilobytes, and a VM has some hundred requests in flight. */
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  private final Deque<ByteBuf> parts = new ArrayDeque<>();
  private long bufferedBytes;
  private long receivedBytes;
  private boolean isComplete;
  private boolean isStreaming;

  void add(ByteBuf bytes) {
    bufferedBytes += bytes.readableBytes();
    receivedBytes += bytes.readableBytes();
    parts.addLast(bytes);
  }

  void complete() {
    isComplete = true;
  }

  /** True once the end of the body was received. */
  boolean isComplete() {
    return isComplete;
  }

  /** Bytes received from the caller so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** True once a target can be chosen: the body is complete or too large to be buffered. */
  boolean isReady() {
    return isComplete || bufferedBytes > MAX_BUFFERED_BYTES;
  }

  /** True while the body can still be sent to another target from its beginning. */
  boolean isReplayable() {
    return !isStreaming;
  }

  /** True while the buffer has room for more bytes from the caller. */
  boolean acceptsMore() {
    return bufferedBytes <= MAX_BUFFERED_BYTES;
  }

  /** Writes the bytes received so far, and the end of the request once the body is complete. */
  void writeTo(TargetConnection connection) {
    if (isComplete && !isStreaming) {
      parts.forEach(part -> connection.writeBody(part.retainedDuplicate()));
      connection.endRequest();
      return;
    }
    isStreaming = true;
    while (!parts.isEmpty()) {
      connection.writeBody(parts.removeFirst());
    }
    bufferedBytes = 0;
    if (isComplete) {
      connection.endRequest();
    }
  }

  /** Releases all buffered bytes. */
  void release() {
    parts.forEach(ByteBuf::release);
    parts.clear();
    bufferedBytes = 0;
  }

  /** Hash of the buffered bytes; distinguishes requests that differ only in their body. */
  int fingerprint() {
    int hash = 1;
    for (ByteBuf part : parts) {
      hash = 31 * hash + part.hashCode();
    }
    return hash;
  }
}
