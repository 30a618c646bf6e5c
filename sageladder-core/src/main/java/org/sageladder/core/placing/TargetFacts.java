package org.sageladder.core.placing;

/**
 * What a target says of itself in the platform's list.
 *
 * @param incarnation id and time of its start
 * @param sequence number of what it says of itself, growing from its start
 * @param service the service it runs
 * @param host IP number
 * @param port TCP port
 * @param zone availability zone
 * @param region region of that zone
 * @param slots requests that it runs at once, at least 1
 * @param isDraining true where it takes nothing new
 * @param remainingColdMillis how much longer it stays cold, counted from when this was read; 0
 *     where warm
 */
public record TargetFacts(
    TargetIncarnation incarnation,
    long sequence,
    String service,
    String host,
    int port,
    String zone,
    String region,
    int slots,
    boolean isDraining,
    long remainingColdMillis) {
  /** The target's id. */
  public String id() {
    return incarnation.id();
  }

  /**
   * True where this is an older word of the same target than {@code known}: one that was held up on
   * its way. Where the target does not say when it started, a lower sequence may as well be that of
   * a new start, and counts.
   */
  boolean isOlderThan(TargetFacts current) {
    boolean isSameIncarnation =
        incarnation.startedAtMillis() != 0 && incarnation.equals(current.incarnation);
    return incarnation.isBefore(current.incarnation)
        || (isSameIncarnation && sequence < current.sequence);
  }

  /** True where service, region and slots are those of {@code other}. */
  boolean hasSameServiceRegionAndSlots(TargetFacts other) {
    return service.equals(other.service) && region.equals(other.region) && slots == other.slots;
  }

  /** The same target, leaving. */
  public TargetFacts asDraining() {
    return new TargetFacts(
        incarnation, sequence, service, host, port, zone, region, slots, true, remainingColdMillis);
  }

  /** The same target, cold for another {@code millis}. */
  public TargetFacts coldFor(long millis) {
    return new TargetFacts(
        incarnation, sequence, service, host, port, zone, region, slots, isDraining, millis);
  }
}
