package org.sageladder.forward;

/**
 * Bytes of all responses that are held in memory, from their arrival until the kernel has them for
 * the caller, so that many large or endless responses, or callers that read slowly, do not use up
 * the heap.
 */
final class ResponseMemory {
  /** An eighth of the heap with which entry VMs run. */
  private static final long MAX_BYTES = 8 << 20;

  private long bytes;

  /** Counts bytes that are buffered from now on. */
  void add(long count) {
    bytes += count;
  }

  /** Counts bytes that are not buffered any more. */
  void remove(long count) {
    bytes -= count;
  }

  /** True if no further responses may be buffered. */
  boolean isFull() {
    return bytes >= MAX_BYTES;
  }

  long bytes() {
    return bytes;
  }
}
