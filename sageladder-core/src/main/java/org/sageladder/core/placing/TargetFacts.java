package org.sageladder.core.placing;

/**
 * A target's registration in the platform's list.
 *
 * @param incarnation id and start time
 * @param sequence number of the registration, increasing from the target's start
 * @param service the service it runs
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param region region of that zone
 * @param slots requests that it runs concurrently, at least 1
 * @param isDraining true if it accepts no new requests
 * @param remainingColdMillis time for which it stays cold, from when this was read; 0 if it is warm
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
   * Returns true if this is an older registration of the same target than {@code current}, delayed
   * in transit. For a target that does not report its start time, a lower sequence may as well
   * belong to a new incarnation and is not considered older.
   */
  boolean isOlderThan(TargetFacts current) {
    boolean isSameIncarnation =
        incarnation.startedAtMillis() != 0 && incarnation.equals(current.incarnation);
    return incarnation.isBefore(current.incarnation)
        || (isSameIncarnation && sequence < current.sequence);
  }

  /** Returns true if service, region and slots equal those of {@code other}. */
  boolean hasSameServiceRegionAndSlots(TargetFacts other) {
    return service.equals(other.service) && region.equals(other.region) && slots == other.slots;
  }

  /** Returns the same target, draining. */
  public TargetFacts asDraining() {
    return new TargetFacts(
        incarnation, sequence, service, host, port, zone, region, slots, true, remainingColdMillis);
  }

  /** Returns the same target, cold for another {@code millis}. */
  public TargetFacts coldFor(long millis) {
    return new TargetFacts(
        incarnation, sequence, service, host, port, zone, region, slots, isDraining, millis);
  }
}
