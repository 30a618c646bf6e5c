package org.sageladder.tools.timeline;

/**
 * Bounds of how much one clock is ahead of another, in microseconds.
 *
 * @param minMicros smallest possible lead; may be negative
 * @param maxMicros largest possible lead, at least {@code least}
 */
public record ClockOffset(long minMicros, long maxMicros) {
  /** Bounds of a clock that nothing is known about. */
  public static final ClockOffset UNKNOWN =
      new ClockOffset(-ClockOffset.UNBOUNDED_MICROS, ClockOffset.UNBOUNDED_MICROS);

  /** Stands for no bound: far beyond any clock, yet small enough to add two. */
  static final long UNBOUNDED_MICROS = Long.MAX_VALUE / 4;

  /**
   * Bounds from one question: the other clock read {@code theirs} at some time between {@code
   * asked} and {@code answered} of one's own.
   */
  public static ClockOffset ofExchange(long askedMicros, long remoteMicros, long answeredMicros) {
    return new ClockOffset(remoteMicros - answeredMicros, remoteMicros - askedMicros);
  }

  /** The best single estimate of the lead. */
  public long midpointMicros() {
    return minMicros + (maxMicros - minMicros) / 2;
  }

  /** How far the true lead may be from {@link #midpointMicros()}. */
  public long uncertaintyMicros() {
    return (maxMicros - minMicros + 1) / 2;
  }

  /** Bounds that hold where both do; where none can, {@code this}. */
  public ClockOffset intersect(ClockOffset other) {
    long newMin = Math.max(minMicros, other.minMicros);
    long newMax = Math.min(maxMicros, other.maxMicros);
    return newMin <= newMax ? new ClockOffset(newMin, newMax) : this;
  }
}
