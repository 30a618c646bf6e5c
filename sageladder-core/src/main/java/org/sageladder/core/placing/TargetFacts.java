package org.sageladder.core.placing;

/**
 * What a target says of itself in the platform's list.
 *
 * @param id name of this start of the target; a restart has another
 * @param service the service it runs
 * @param host IP number
 * @param port TCP port
 * @param zone availability zone
 * @param region region of that zone
 * @param slots requests that it runs at once, at least 1
 * @param leaving true where it takes nothing new
 * @param coldMillis how much longer it stays cold, counted from when this was read; 0 where warm
 */
public record TargetFacts(
    String id,
    String service,
    String host,
    int port,
    String zone,
    String region,
    int slots,
    boolean leaving,
    long coldMillis) {
  /** The same target, leaving. */
  public TargetFacts asLeaving() {
    return new TargetFacts(id, service, host, port, zone, region, slots, true, coldMillis);
  }

  /** The same target, cold for another {@code millis}. */
  public TargetFacts coldFor(long millis) {
    return new TargetFacts(id, service, host, port, zone, region, slots, leaving, millis);
  }
}
