package org.sageladder.tools.timeline;

/**
 * Bounds of how much one clock is ahead of another, in microseconds.
 *
 * @param least smallest possible lead; may be negative
 * @param most largest possible lead, at least {@code least}
 */
public record Offset(long least, long most) {
  /** Bounds of a clock that nothing is known about. */
  public static final Offset UNKNOWN = new Offset(-Offset.NO_BOUND, Offset.NO_BOUND);

  /** Stands for no bound: far beyond any clock, yet small enough to add two. */
  static final long NO_BOUND = Long.MAX_VALUE / 4;

  /**
   * Bounds from one question: the other clock read {@code theirs} at some time between {@code
   * asked} and {@code answered} of one's own.
   */
  public static Offset ofExchange(long asked, long theirs, long answered) {
    return new Offset(theirs - answered, theirs - asked);
  }

  /** The best single estimate of the lead. */
  public long middle() {
    return least + (most - least) / 2;
  }

  /** How far the true lead may be from {@link #middle()}. */
  public long uncertainty() {
    return (most - least + 1) / 2;
  }

  /** Bounds that hold where both do; where none can, {@code this}. */
  public Offset narrowedBy(Offset other) {
    long low = Math.max(least, other.least);
    long high = Math.min(most, other.most);
    return low <= high ? new Offset(low, high) : this;
  }
}
