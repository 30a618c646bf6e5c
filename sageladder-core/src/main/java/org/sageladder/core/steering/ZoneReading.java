package org.sageladder.core.steering;

/**
 * What steering knows of one zone and one service; all rates in requests a second.
 *
 * @param capacityPerSecond what the zone's usable slots carry by the latest view
 * @param ceilingPerSecond most that the zone would admit when the reading was taken
 * @param admittedPerSecond what it admitted of late
 * @param demandPerSecond what callers who ask the zone's entry VMs want, wherever served
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
  private static final double FILL = 0.9;

  /** Most that steering reckons the zone to carry, of all callers. */
  double limit() {
    return switch (age) {
      case FRESH, OLD -> Math.min(FILL * capacityPerSecond, ceilingPerSecond);
      case AGEING ->
          Math.min(FILL * capacityPerSecond, Math.min(ceilingPerSecond, admittedPerSecond));
      case ABSENT -> capacityPerSecond;
    };
  }

  /** What the zone could take besides what it admits. */
  double room() {
    return limit() - admittedPerSecond;
  }

  /** True where callers of other regions may be sent here. */
  boolean takesOthers() {
    return age == ReadingAge.FRESH || age == ReadingAge.AGEING;
  }
}
