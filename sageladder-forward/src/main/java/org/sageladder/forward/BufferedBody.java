package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The body of a request: held whole while it is small, so that it can be sent once more, and passed
 * through once it has grown too large for that.
 */
final class BufferedBody {
  /**
   * A body up to this size is held; most are a few kilobytes, and a VM has some hundred at once.
   */
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

  /** True once its end has come. */
  boolean isComplete() {
    return isComplete;
  }

  /** Bytes that came from the caller so far. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** True where a target can be chosen: all of it is here, or it will not be held whole. */
  boolean isReady() {
    return isComplete || bufferedBytes > MAX_BUFFERED_BYTES;
  }

  /** True where it can be sent to another target from its beginning. */
  boolean isReplayable() {
    return !isStreaming;
  }

  /** True where the caller may send more now. */
  boolean acceptsMore() {
    return bufferedBytes <= MAX_BUFFERED_BYTES;
  }

  /** Writes what there is; ends the request where that is all. */
  void writeTo(TargetConnection to) {
    if (isComplete && !isStreaming) {
      parts.forEach(part -> to.writeBody(part.retainedDuplicate()));
      to.endRequest();
      return;
    }
    isStreaming = true;
    while (!parts.isEmpty()) {
      to.writeBody(parts.removeFirst());
    }
    bufferedBytes = 0;
    if (isComplete) {
      to.endRequest();
    }
  }

  /** Gives back all that is held. */
  void release() {
    parts.forEach(ByteBuf::release);
    parts.clear();
    bufferedBytes = 0;
  }

  /** Hash of what is held, to tell requests apart that differ in their body only. */
  int fingerprint() {
    int hash = 1;
    for (ByteBuf part : parts) {
      hash = 31 * hash + part.hashCode();
    }
    return hash;
  }
}
