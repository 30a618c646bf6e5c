package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.Charset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Bytes in a few buffers of their own, whatever the sizes of the pieces in which they are received.
 *
 * <p>A received piece is a part of the buffer of one read and keeps all of it alive, so that some
 * dozens of one-byte chunks would hold a megabyte.
 */
final class ByteSegments {
  private static final int MIN_SEGMENT_BYTES = 512;
  private static final int MAX_SEGMENT_BYTES = 16 << 10;

  private final Deque<ByteBuf> segments = new ArrayDeque<>(2);
  private long readableBytes;
  private long heldBytes;

  /** Copies bytes and releases them. */
  void add(ByteBuf bytes) {
    readableBytes += bytes.readableBytes();
    while (bytes.isReadable()) {
      ByteBuf last = segments.peekLast();
      if (last == null || !last.isWritable()) {
        last = allocate(bytes.readableBytes());
        segments.addLast(last);
      }
      last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.writableBytes()));
    }
    bytes.release();
  }

  /** Allocates as much again as there is already, so that a small body takes little. */
  private ByteBuf allocate(int neededBytes) {
    long wanted = Math.max(neededBytes, Math.max(MIN_SEGMENT_BYTES, heldBytes));
    int capacity = (int) Math.min(wanted, MAX_SEGMENT_BYTES);
    heldBytes += capacity;
    return Unpooled.buffer(capacity, capacity);
  }

  /** Number of bytes that were added and not drained. */
  long readableBytes() {
    return readableBytes;
  }

  /** Bytes of heap that the buffers occupy. */
  long heldBytes() {
    return heldBytes;
  }

  /** Buffers with all bytes, which stay here too; nothing may be added afterwards. */
  List<ByteBuf> retainedDuplicates() {
    return segments.stream().map(ByteBuf::retainedDuplicate).toList();
  }

  /** Passes on all buffers, whose receiver releases them. */
  void drainTo(Consumer<ByteBuf> receiver) {
    readableBytes = 0;
    heldBytes = 0;
    while (!segments.isEmpty()) {
      receiver.accept(segments.removeFirst());
    }
  }

  /** Appends all bytes as characters to {@code text}. */
  void appendTo(StringBuilder text, Charset charset) {
    segments.forEach(segment -> text.append(segment.toString(charset)));
  }

  /** Releases all bytes. */
  void release() {
    drainTo(ByteBuf::release);
  }
}
