package org.sageladder.core.steering;

/** Age class of a zone's reading, which determines how far it is trusted. */
public enum ReadingAge {
  /** Up to 8 s old: usable without restriction up to its ceiling. */
  FRESH,
  /** Up to 30 s old: the zone gets no more than it was known to admit. */
  AGEING,
  /** Up to 2 minutes old: callers of the same region only, up to the last ceiling. */
  OLD,
  /** Older or never received: callers of the same region only, up to the planned capacity. */
  ABSENT;

  private static final long FRESH_MILLIS = 8_000;
  private static final long AGEING_MILLIS = 30_000;
  private static final long OLD_MILLIS = 120_000;

  /**
   * Returns the age class of a reading.
   *
   * @param ageMillis now minus the time it was taken; negative if the other clock is ahead
   */
  public static ReadingAge of(long ageMillis) {
    if (ageMillis <= FRESH_MILLIS) {
      return FRESH;
    }
    if (ageMillis <= AGEING_MILLIS) {
      return AGEING;
    }
    return ageMillis <= OLD_MILLIS ? OLD : ABSENT;
  }
}
