package org.sageladder.core.permit;

import java.util.List;
import java.util.Map;

/**
 * The states of all live permits of an incarnation that is stopping, sent to the one entry VM that
 * decides on them afterwards.
 *
 * @param vm entry VM that minted the permits
 * @param incarnation its incarnation
 * @param nextSequence lowest sequence number that was never minted
 * @param segments states by sequence number, lowest first
 * @param answers recorded answers by sequence number
 */
public record HandOver(
    String vm,
    long incarnation,
    long nextSequence,
    List<SegmentState> segments,
    Map<Long, RecordedAnswer> answers) {
  /** Copies the collections, so that the record is immutable. */
  public HandOver {
    segments = List.copyOf(segments);
    answers = Map.copyOf(answers);
  }

  /**
   * States of permits with consecutive sequence numbers.
   *
   * @param firstSequence sequence number of the first state
   * @param lastExpiryMillis latest expiry among the permits
   * @param states one of the five states of {@link Segment} for each permit, never "running"
   * @param requestDigests digest of the request that used the permit, 0 if unused
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record SegmentState(
      long firstSequence, long lastExpiryMillis, byte[] states, long[] requestDigests) {}

  /** Number of permits whose state is handed over. */
  public long permitCount() {
    return segments.stream().mapToLong(segment -> segment.states().length).sum();
  }
}
