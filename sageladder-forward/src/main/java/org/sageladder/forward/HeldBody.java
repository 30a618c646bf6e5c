package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The body of a request: held whole while it is small, so that it can be sent once more, and passed
 * through once it has grown too large for that.
 */
final class HeldBody {
  /**
   * A body up to this size is held; most are a few kilobytes, and a VM has some hundred at once.
   */
  private static final int MOST_HELD_BYTES = 64 << 10;

  private final Deque<ByteBuf> parts = new ArrayDeque<>();
  private long held;
  private long total;
  private boolean whole;
  private boolean passing;

  void add(ByteBuf bytes) {
    held += bytes.readableBytes();
    total += bytes.readableBytes();
    parts.addLast(bytes);
  }

  void end() {
    whole = true;
  }

  /** True once its end has come. */
  boolean isWhole() {
    return whole;
  }

  /** Bytes that came from the caller so far. */
  long total() {
    return total;
  }

  /** True where a target can be chosen: all of it is here, or it will not be held whole. */
  boolean isReady() {
    return whole || held > MOST_HELD_BYTES;
  }

  /** True where it can be sent to another target from its beginning. */
  boolean isRepeatable() {
    return !passing;
  }

  /** True where the caller may send more now. */
  boolean takesMore() {
    return held <= MOST_HELD_BYTES;
  }

  /** Writes what there is; ends the request where that is all. */
  void writeTo(TargetConnection to) {
    if (whole && !passing) {
      parts.forEach(part -> to.body(part.retainedDuplicate()));
      to.bodyEnd();
      return;
    }
    passing = true;
    while (!parts.isEmpty()) {
      to.body(parts.removeFirst());
    }
    held = 0;
    if (whole) {
      to.bodyEnd();
    }
  }

  /** Gives back all that is held. */
  void release() {
    parts.forEach(ByteBuf::release);
    parts.clear();
    held = 0;
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
