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

  final long startMillis;
  private final long first;
  private long endMillis;
  private int count;
  private int running;
  private byte[] states;
  private long[] digests;

  Segment(long first, long startMillis) {
    this.first = first;
    this.startMillis = startMillis;
    this.endMillis = startMillis;
    this.states = new byte[SMALLEST];
    this.digests = new long[SMALLEST];
  }

  static Segment of(HandOver.SegmentState state) {
    Segment segment = new Segment(state.first(), state.endMillis());
    segment.endMillis = state.endMillis();
    segment.count = state.states().length;
    segment.states = state.states().clone();
    segment.digests = state.digests().clone();
    return segment;
  }

  /** The states for a successor; what runs at the closing can only be told "unknown" there. */
  HandOver.SegmentState handedOver() {
    byte[] copy = Arrays.copyOf(states, count);
    for (int i = 0; i < count; i++) {
      if (copy[i] == RUNNING) {
        copy[i] = UNKNOWN;
      }
    }
    return new HandOver.SegmentState(first, endMillis, copy, Arrays.copyOf(digests, count));
  }

  boolean isFull() {
    return count == LARGEST;
  }

  int count() {
    return count;
  }

  int running() {
    return running;
  }

  /** Expiry of the last permit. */
  long endMillis() {
    return endMillis;
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

  boolean has(long sequence) {
    return sequence >= first && sequence < first + count;
  }

  int index(long sequence) {
    return Math.toIntExact(sequence - first);
  }

  byte state(int index) {
    return states[index];
  }

  long digest(int index) {
    return digests[index];
  }

  void begin(int index, long digest) {
    states[index] = RUNNING;
    digests[index] = digest;
    running++;
  }

  void refuse(int index, long digest) {
    states[index] = NOT_RUN;
    digests[index] = digest;
  }

  boolean move(int index, byte from, byte to) {
    if (states[index] != from) {
      return false;
    }
    states[index] = to;
    if (from == RUNNING) {
      running--;
    }
    return true;
  }

  @Override
  public String toString() {
    int[] byState = new int[UNKNOWN + 1];
    for (int i = 0; i < count; i++) {
      byState[states[i]]++;
    }
    return first
        + "+"
        + count
        + (" until " + endMillis)
        + (": unused " + byState[UNUSED] + ", running " + byState[RUNNING])
        + (", ran " + byState[RAN] + ", not run " + byState[NOT_RUN])
        + (", unknown " + byState[UNKNOWN]);
  }
}
