package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * How far each zone is: the shortest time that a connection took to be established lately.
 *
 * <p>The shortest of many is the way there and back without queues. Until one was seen, a zone
 * counts as far as zones and regions usually are.
 */
public final class RoundTripTimes {
  /** Way there and back inside a zone, to another zone, to another region, until measured. */
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

  /** Distances from {@code zone}, none measured yet. */
  public static RoundTripTimes from(String zone, String region) {
    return new RoundTripTimes(zone, region);
  }

  /** Notes that a connection to a target in {@code targetZone} took {@code millis}. */
  public void recordConnect(String targetZone, double millis) {
    minMillisByZone.merge(targetZone, millis, Math::min);
  }

  /** Way there and back, in milliseconds. */
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

  /** The region that ways are measured from. */
  String ownRegion() {
    return region;
  }

  /** True where a connection to the target's zone was established before. */
  boolean isMeasured(TargetFacts target) {
    return minMillisByZone.containsKey(target.zone());
  }

  /** True where the target is in another zone than this entry VM. */
  public boolean isOtherZone(TargetFacts target) {
    return !target.zone().equals(zone);
  }

  /** True where the target is in another region than this entry VM. */
  public boolean isOtherRegion(TargetFacts target) {
    return !target.region().equals(region);
  }
}
