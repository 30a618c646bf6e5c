package org.sageladder.core.contract;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * The contract of one customer. Every limit that sageladder enforces is derived from it.
 *
 * <p>Immutable. The revision is the store's revision of the write that was accepted, or 0 for a
 * contract that has not been accepted yet.
 *
 * @param customer short name of lower-case letters, digits and hyphens
 * @param regions at least one, each with at least one availability zone
 * @param clientBlocks the region to which each block of clients is assigned
 */
public record Contract(
    String customer,
    long revision,
    List<Region> regions,
    Delays delays,
    List<ClientBlocks> clientBlocks,
    List<LinkLimit> linkLimits,
    List<Service> services) {

  /** Copies the lists to keep the contract immutable. */
  public Contract {
    regions = List.copyOf(regions);
    clientBlocks = List.copyOf(clientBlocks);
    linkLimits = List.copyOf(linkLimits);
    services = List.copyOf(services);
  }

  /** A region and its availability zones, nearest first. */
  public record Region(String name, List<String> zones) {
    /** Copies the list to keep the region immutable. */
    public Region {
      zones = List.copyOf(zones);
    }
  }

  /** One-way delays in milliseconds. */
  public record Delays(
      double betweenZonesMillis, double betweenRegionsMillis, double toClientsMillis) {}

  /**
   * The clients of the blocks {@code first} to {@code last}, both included, are near {@code
   * region}.
   */
  public record ClientBlocks(int first, int last, String region) {}

  /** Maximum requests per second that may be sent from one region to another. */
  public record LinkLimit(String from, String to, double requestsPerSecond) {}

  /**
   * Limit on how fast traffic may shift to a region or target.
   *
   * @param gainFraction maximum growth of the admitted requests from one window to the next, as a
   *     fraction of the capacity of the region or target that gains them; above 0 and at most 1
   * @param window length of the sliding window
   */
  public record ShiftCap(double gainFraction, Duration window) {}

  /**
   * One service and its limits.
   *
   * @param repeatable false if a request must run at most once; such requests need a permit
   * @param targets planned number of targets in all zones
   * @param slotsPerTarget requests that a target runs at the same time
   * @param connectionsPerTarget maximum connections to one target from all entry VMs together
   * @param meanServiceMillis planned mean service time, during which a request holds a slot
   * @param queuePerTarget maximum length of a gate's queue for each target it holds
   * @param queueWait maximum wait in a gate's queue
   * @param longestDeadline maximum deadline that a caller may ask for
   * @param drainLimit time that a draining target has to finish its requests
   * @param retryFraction retries allowed as a fraction of first attempts, 0 to 1
   */
  public record Service(
      String name,
      RequestClass requestClass,
      boolean repeatable,
      int targets,
      int slotsPerTarget,
      int connectionsPerTarget,
      double meanServiceMillis,
      int queuePerTarget,
      Duration queueWait,
      Duration longestDeadline,
      Duration drainLimit,
      double retryFraction,
      ShiftCap regionShiftCap,
      ShiftCap targetShiftCap) {

    /** Requests per second that one target can handle with all slots busy. */
    public double targetCapacity() {
      return slotsPerTarget * 1000.0 / meanServiceMillis;
    }

    /** Returns the same service with another time for draining targets to finish. */
    public Service withDrainLimit(Duration newLimit) {
      return new Service(
          name,
          requestClass,
          repeatable,
          targets,
          slotsPerTarget,
          connectionsPerTarget,
          meanServiceMillis,
          queuePerTarget,
          queueWait,
          longestDeadline,
          newLimit,
          retryFraction,
          regionShiftCap,
          targetShiftCap);
    }

    /** Returns the same service with other shift caps for a region and for a target. */
    public Service withShiftCaps(ShiftCap newRegionCap, ShiftCap newTargetCap) {
      return new Service(
          name,
          requestClass,
          repeatable,
          targets,
          slotsPerTarget,
          connectionsPerTarget,
          meanServiceMillis,
          queuePerTarget,
          queueWait,
          longestDeadline,
          drainLimit,
          retryFraction,
          newRegionCap,
          newTargetCap);
    }
  }

  /** Returns the same contract, accepted at {@code acceptedRevision}. */
  public Contract atRevision(long acceptedRevision) {
    return new Contract(
        customer, acceptedRevision, regions, delays, clientBlocks, linkLimits, services);
  }

  /** Returns the same contract with {@code change} applied to each service. */
  public Contract withServices(UnaryOperator<Service> change) {
    List<Service> changed = services.stream().map(change).toList();
    return new Contract(customer, revision, regions, delays, clientBlocks, linkLimits, changed);
  }

  /** The service named {@code name}. */
  public Optional<Service> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** The region that contains {@code zone}. */
  public Optional<Region> regionOfZone(String zone) {
    return regions.stream().filter(region -> region.zones().contains(zone)).findFirst();
  }

  /** The region to which the clients of {@code block} are assigned. */
  public Optional<String> regionOfBlock(int block) {
    for (ClientBlocks range : clientBlocks) {
      if (range.first() <= block && block <= range.last()) {
        return Optional.of(range.region());
      }
    }
    return Optional.empty();
  }

  /** The zones of all regions, in the order of the regions. */
  public List<String> zones() {
    return regions.stream().flatMap(region -> region.zones().stream()).toList();
  }
}
