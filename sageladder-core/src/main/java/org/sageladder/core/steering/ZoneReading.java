package org.sageladder.core.steering;

/**
 * The latest reading of one zone and one service; all rates in requests per second.
 *
 * @param capacityPerSecond what the zone's usable slots can serve by the latest view
 * @param ceilingPerSecond maximum that the zone would admit when the reading was taken
 * @param admittedPerSecond what it admitted recently
 * @param demandPerSecond demand received by its gates, admitted or not
 */
public record ZoneReading(
    String zone,
    String region,
    ReadingAge age,
    double capacityPerSecond,
    double ceilingPerSecond,
    double admittedPerSecond,
    double demandPerSecond) {

  /**
   * Fraction of a zone's capacity that steering fills before it uses other regions.
   *
   * <p>Arrivals are uneven: a zone filled to its capacity refuses requests that a neighbor could
   * serve. A ceiling below the capacity is filled completely, since it rises only while it is used.
   */
  private static final double FILL_FRACTION = 0.9;

  /** Returns the maximum rate that steering assigns to the zone, from all callers. */
  double usablePerSecond() {
    return switch (age) {
      case FRESH, OLD -> Math.min(FILL_FRACTION * capacityPerSecond, ceilingPerSecond);
      case AGEING ->
          Math.min(
              FILL_FRACTION * capacityPerSecond, Math.min(ceilingPerSecond, admittedPerSecond));
      case ABSENT -> capacityPerSecond;
    };
  }

  /** Returns the rate that the zone could admit in addition to its current one. */
  double headroomPerSecond() {
    return usablePerSecond() - admittedPerSecond;
  }

  /** Returns true if callers of other regions may be sent to this zone. */
  boolean acceptsRemoteCallers() {
    return age == ReadingAge.FRESH || age == ReadingAge.AGEING;
  }
}
