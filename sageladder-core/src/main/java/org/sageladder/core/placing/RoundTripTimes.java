package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * Round-trip time to each zone: the shortest time in which a connection was established.
 *
 * <p>The minimum of many connects is the round-trip time without queueing delay. A zone without a
 * measurement has a default that is typical of zones and regions.
 */
public final class RoundTripTimes {
  /**
   * Default round-trip times within a zone, to another zone of the region and to another region,
   * until measured.
   */
  private static final double DEFAULT_SAME_ZONE_MILLIS = 0.5;

  private static final double DEFAULT_SAME_REGION_MILLIS = 3;
  private static final double DEFAULT_CROSS_REGION_MILLIS = 60;

  private final String zone;
  private final String region;
  private final Map<String, Double> minMillisByZone = new HashMap<>();

  private RoundTripTimes(String zone, String region) {
    this.zone = zone;
    this.region = region;
  }

  /** Creates round-trip times from {@code zone}, none measured yet. */
  public static RoundTripTimes from(String zone, String region) {
    return new RoundTripTimes(zone, region);
  }

  /**
   * Records that a connection to a target in {@code targetZone} was established in {@code millis}.
   */
  public void recordConnect(String targetZone, double millis) {
    minMillisByZone.merge(targetZone, millis, Math::min);
  }

  /** Returns the round-trip time to the target, in milliseconds. */
  public double millis(TargetFacts target) {
    Double measured = minMillisByZone.get(target.zone());
    if (measured != null) {
      return measured;
    }
    if (target.zone().equals(zone)) {
      return DEFAULT_SAME_ZONE_MILLIS;
    }
    return target.region().equals(region)
        ? DEFAULT_SAME_REGION_MILLIS
        : DEFAULT_CROSS_REGION_MILLIS;
  }

  /** The region from which round-trip times are measured. */
  String ownRegion() {
    return region;
  }

  /** Returns true if a connection to the target's zone was established before. */
  boolean isMeasured(TargetFacts target) {
    return minMillisByZone.containsKey(target.zone());
  }

  /** Returns true if the target is in another zone than this entry VM. */
  public boolean isOtherZone(TargetFacts target) {
    return !target.zone().equals(zone);
  }

  /** Returns true if the target is in another region than this entry VM. */
  public boolean isOtherRegion(TargetFacts target) {
    return !target.region().equals(region);
  }
}
