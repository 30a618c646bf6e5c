package org.sageladder.core.permit;

import java.util.Arrays;

/** The states of permits with consecutive sequence numbers, nine bytes each. */
final class Segment {
  static final byte UNUSED = 0;
  static final byte RUNNING = 1;
  static final byte RAN = 2;
  static final byte NOT_RUN = 3;
  static final byte UNKNOWN = 4;

  private static final int INITIAL_CAPACITY = 64;
  private static final int MAX_PERMITS = 1 << 16;

  final long startMillis;
  private final long firstSequence;
  private long lastExpiryMillis;
  private int count;
  private int runningCount;
  private byte[] states;
  private long[] requestDigests;

  Segment(long firstSequence, long startMillis) {
    this.firstSequence = firstSequence;
    this.startMillis = startMillis;
    this.lastExpiryMillis = startMillis;
    this.states = new byte[INITIAL_CAPACITY];
    this.requestDigests = new long[INITIAL_CAPACITY];
  }

  static Segment of(HandOver.SegmentState state) {
    Segment segment = new Segment(state.firstSequence(), state.lastExpiryMillis());
    segment.lastExpiryMillis = state.lastExpiryMillis();
    segment.count = state.states().length;
    segment.states = state.states().clone();
    segment.requestDigests = state.requestDigests().clone();
    return segment;
  }

  /**
   * Copies the states for a successor. An execution still running is copied as unknown, since its
   * outcome cannot reach the successor.
   */
  HandOver.SegmentState toHandOverState() {
    byte[] copy = Arrays.copyOf(states, count);
    for (int i = 0; i < count; i++) {
      if (copy[i] == RUNNING) {
        copy[i] = UNKNOWN;
      }
    }
    return new HandOver.SegmentState(
        firstSequence, lastExpiryMillis, copy, Arrays.copyOf(requestDigests, count));
  }

  boolean isFull() {
    return count == MAX_PERMITS;
  }

  int count() {
    return count;
  }

  int runningCount() {
    return runningCount;
  }

  /** Latest expiry among the permits. */
  long lastExpiryMillis() {
    return lastExpiryMillis;
  }

  void add(long expiryMillis) {
    if (count == states.length) {
      int larger = Math.min(MAX_PERMITS, count * 2);
      states = Arrays.copyOf(states, larger);
      requestDigests = Arrays.copyOf(requestDigests, larger);
    }
    count++;
    lastExpiryMillis = Math.max(lastExpiryMillis, expiryMillis);
  }

  boolean contains(long sequence) {
    return sequence >= firstSequence && sequence < firstSequence + count;
  }

  int indexOf(long sequence) {
    return Math.toIntExact(sequence - firstSequence);
  }

  byte state(int index) {
    return states[index];
  }

  long requestDigest(int index) {
    return requestDigests[index];
  }

  void markRunning(int index, long digest) {
    states[index] = RUNNING;
    requestDigests[index] = digest;
    runningCount++;
  }

  void markNotRun(int index, long digest) {
    states[index] = NOT_RUN;
    requestDigests[index] = digest;
  }

  boolean transition(int index, byte from, byte to) {
    if (states[index] != from) {
      return false;
    }
    states[index] = to;
    if (from == RUNNING) {
      runningCount--;
    }
    return true;
  }

  @Override
  public String toString() {
    int[] byState = new int[UNKNOWN + 1];
    for (int i = 0; i < count; i++) {
      byState[states[i]]++;
    }
    return firstSequence
        + "+"
        + count
        + (" until " + lastExpiryMillis)
        + (": unused " + byState[UNUSED] + ", running " + byState[RUNNING])
        + (", ran " + byState[RAN] + ", not run " + byState[NOT_RUN])
        + (", unknown " + byState[UNKNOWN]);
  }
}
