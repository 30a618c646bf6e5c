package org.sageladder.core.permit;

import java.util.Arrays;

/** The states of a run of consecutive permits; nine bytes each. */
final class Segment {
  static final byte UNUSED = 0;
  static final byte RUNNING = 1;
  static final byte RAN = 2;
  static final byte NOT_RUN = 3;
  static final byte UNKNOWN = 4;

  private static final int SMALLEST = 64;
  private static final int LARGEST = 1 << 16;

  final long first;
  final long startMillis;
  long endMillis;
  int count;
  byte[] states = new byte[SMALLEST];
  long[] digests = new long[SMALLEST];

  Segment(long first, long startMillis) {
    this.first = first;
    this.startMillis = startMillis;
    this.endMillis = startMillis;
  }

  boolean isFull() {
    return count == LARGEST;
  }

  void add(long expiryMillis) {
    if (count == states.length) {
      int larger = Math.min(LARGEST, count * 2);
      states = Arrays.copyOf(states, larger);
      digests = Arrays.copyOf(digests, larger);
    }
    count++;
    endMillis = Math.max(endMillis, expiryMillis);
  }

  int index(long sequence) {
    return Math.toIntExact(sequence - first);
  }
}
