package org.sageladder.tools.timeline;

/**
 * Lower and upper bound of the lead of one clock over another, in microseconds.
 *
 * @param minMicros lower bound of the lead; may be negative
 * @param maxMicros upper bound of the lead, at least {@code minMicros}
 */
public record ClockOffset(long minMicros, long maxMicros) {
  /** The bounds of a clock whose lead is unknown. */
  public static final ClockOffset UNKNOWN =
      new ClockOffset(-ClockOffset.UNBOUNDED_MICROS, ClockOffset.UNBOUNDED_MICROS);

  /**
   * Represents a missing bound: far beyond any clock difference, but small enough that adding two
   * does not overflow.
   */
  static final long UNBOUNDED_MICROS = Long.MAX_VALUE / 4;

  /**
   * Bounds from one request and its answer: the other clock read {@code remoteMicros} at some time
   * between {@code sentMicros} and {@code answeredMicros} of the local clock.
   */
  public static ClockOffset ofExchange(long sentMicros, long remoteMicros, long answeredMicros) {
    return new ClockOffset(remoteMicros - answeredMicros, remoteMicros - sentMicros);
  }

  /** The midpoint of the bounds, which minimizes the maximum error. */
  public long midpointMicros() {
    return minMicros + (maxMicros - minMicros) / 2;
  }

  /** Maximum error of {@link #midpointMicros()}. */
  public long uncertaintyMicros() {
    return (maxMicros - minMicros + 1) / 2;
  }

  /** Returns the intersection of both bounds, or {@code this} if they do not overlap. */
  public ClockOffset intersect(ClockOffset other) {
    long newMin = Math.max(minMicros, other.minMicros);
    long newMax = Math.min(maxMicros, other.maxMicros);
    return newMin <= newMax ? new ClockOffset(newMin, newMax) : this;
  }
}
