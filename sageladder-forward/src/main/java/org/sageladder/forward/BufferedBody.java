package org.sageladder.forward;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBuf;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The body of a request. A small body is buffered completely so that it can be sent again; a larger
 * one is streamed on one connection and cannot be sent on another.
 */
final class BufferedBody {
  /** Most bodies are a few kilobytes, and a VM has some hundred requests in flight. */
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  /** The part of a body that distinguishes requests; no more than is buffered. */
  private static final int MAX_HASHED_BYTES = MAX_BUFFERED_BYTES;

  private final ByteSegments segments = new ByteSegments();
  private @Nullable HashStream64 hash;
  private int hashedBytes;
  private long receivedBytes;
  private boolean isComplete;
  private @Nullable TargetConnection streamedOn;

  void add(ByteBuf bytes) {
    addToHash(bytes);
    receivedBytes += bytes.readableBytes();
    segments.add(bytes);
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
    return isComplete || !acceptsMore();
  }

  /** True while the body can still be sent to another target from its beginning. */
  boolean isReplayable() {
    return streamedOn == null;
  }

  /** True if bytes are buffered. */
  boolean hasBufferedBytes() {
    return segments.readableBytes() > 0;
  }

  /** True while the buffer has room for more bytes from the caller. */
  boolean acceptsMore() {
    return segments.readableBytes() <= MAX_BUFFERED_BYTES;
  }

  /**
   * Writes the bytes received so far, and the end of the request once the body is complete.
   *
   * @throws IllegalStateException if a part of the body was streamed on another connection, so that
   *     the rest would be taken for the whole
   */
  void writeTo(TargetConnection connection) {
    if (streamedOn != null && streamedOn != connection) {
      throw new IllegalStateException("part of the body was streamed on another connection");
    }
    if (isComplete && streamedOn == null) {
      // A write that fails ends the attempt at once, which may release this body.
      List<ByteBuf> copies = segments.retainedDuplicates();
      copies.forEach(connection::writeBody);
      connection.endRequest(receivedBytes);
      return;
    }
    streamedOn = connection;
    segments.drainTo(connection::writeBody);
    if (isComplete) {
      connection.endRequest(receivedBytes);
    }
  }

  /** Bytes of heap that the buffered part occupies. */
  long heldBytes() {
    return segments.heldBytes();
  }

  /** Releases all buffered bytes. */
  void release() {
    segments.release();
  }

  /**
   * Hash of the first {@value #MAX_HASHED_BYTES} bytes, however they arrive; the same when a target
   * is chosen and after the body was sent.
   */
  long fingerprint() {
    HashStream64 current = hash;
    return current == null ? 0 : current.getAsLong();
  }

  private void addToHash(ByteBuf bytes) {
    int count = Math.min(bytes.readableBytes(), MAX_HASHED_BYTES - hashedBytes);
    if (count == 0) {
      return;
    }
    HashStream64 current = hash == null ? Hashing.komihash5_0().hashStream() : hash;
    bytes.forEachByte(
        bytes.readerIndex(),
        count,
        value -> {
          current.putByte(value);
          return true;
        });
    hash = current;
    hashedBytes += count;
  }
}
