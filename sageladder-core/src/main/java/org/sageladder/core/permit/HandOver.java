package org.sageladder.core.permit;

import java.util.List;
import java.util.Map;

/**
 * The states of all live permits of an incarnation that stops, for the one entry VM that answers
 * for them from then on.
 *
 * @param vm entry VM that minted the permits
 * @param incarnation its incarnation
 * @param nextSequence first sequence that was never minted
 * @param segments states by sequence, lowest first
 * @param answers recorded answers by sequence
 */
public record HandOver(
    String vm,
    long incarnation,
    long nextSequence,
    List<SegmentState> segments,
    Map<Long, RecordedAnswer> answers) {
  /** Copies the collections, so that the states cannot change. */
  public HandOver {
    segments = List.copyOf(segments);
    answers = Map.copyOf(answers);
  }

  /**
   * States of consecutive sequences.
   *
   * @param firstSequence sequence of the first state
   * @param lastExpiryMillis expiry of the last permit
   * @param states one of the five states each; none is running
   * @param requestDigests digest of the request that used the permit, 0 where unused
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record SegmentState(
      long firstSequence, long lastExpiryMillis, byte[] states, long[] requestDigests) {}

  /** Permits whose state is handed over. */
  public long permitCount() {
    return segments.stream().mapToLong(segment -> segment.states().length).sum();
  }
}
