package org.sageladder.core.steering;

/** How far a zone's reading may be trusted, by its age. */
public enum ReadingAge {
  /** Up to 8 s old: free use within its ceiling. */
  FRESH,
  /** Up to 30 s old: no more toward the zone than it was known to admit. */
  AGEING,
  /** Up to 2 minutes old: its own region's callers only, within the last ceiling. */
  OLD,
  /** Older or never heard: its own region's callers only, as the contract plans. */
  ABSENT;

  private static final long FRESH_MILLIS = 8_000;
  private static final long AGEING_MILLIS = 30_000;
  private static final long OLD_MILLIS = 120_000;

  /**
   * The age class of a reading.
   *
   * @param ageMillis now less the time it was taken; below 0 where the other clock is ahead
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
