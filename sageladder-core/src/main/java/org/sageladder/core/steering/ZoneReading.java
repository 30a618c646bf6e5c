package org.sageladder.core.steering;

/**
 * What steering knows of one zone and one service; all rates in requests a second.
 *
 * @param capacityPerSecond what the zone's usable slots carry by the latest view
 * @param ceilingPerSecond most that the zone would admit when the reading was taken
 * @param admittedPerSecond what it admitted of late
 * @param demandPerSecond what was asked of its gates, admitted or not
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
   * Part of a zone's capacity that steering fills before it spills.
   *
   * <p>Requests come unevenly: a zone filled to the brim refuses what a neighbour could carry. A
   * ceiling below the capacity is filled whole, since it climbs only where it is used.
   */
  private static final double FILL_FRACTION = 0.9;

  /** Most that steering reckons the zone to carry, of all callers. */
  double usablePerSecond() {
    return switch (age) {
      case FRESH, OLD -> Math.min(FILL_FRACTION * capacityPerSecond, ceilingPerSecond);
      case AGEING ->
          Math.min(
              FILL_FRACTION * capacityPerSecond, Math.min(ceilingPerSecond, admittedPerSecond));
      case ABSENT -> capacityPerSecond;
    };
  }

  /** What the zone could take besides what it admits. */
  double headroomPerSecond() {
    return usablePerSecond() - admittedPerSecond;
  }

  /** True where callers of other regions may be sent here. */
  boolean acceptsRemoteCallers() {
    return age == ReadingAge.FRESH || age == ReadingAge.AGEING;
  }
}
