package org.sageladder.core.contract;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * What one customer was promised; every limit that sageladder enforces follows from it.
 *
 * <p>Immutable. The revision is the store's revision of the write that was accepted, 0 for a
 * contract that has not been accepted yet.
 *
 * @param customer short name, lower case letters, digits and hyphens
 * @param regions at least one, each with at least one availability zone
 * @param clientBlocks which region's callers each block of clients counts as
 */
public record Contract(
    String customer,
    long revision,
    List<Region> regions,
    Delays delays,
    List<ClientBlocks> clientBlocks,
    List<LinkLimit> linkLimits,
    List<Service> services) {

  /** Copies the lists, so that the contract cannot change. */
  public Contract {
    regions = List.copyOf(regions);
    clientBlocks = List.copyOf(clientBlocks);
    linkLimits = List.copyOf(linkLimits);
    services = List.copyOf(services);
  }

  /** A region and its availability zones, nearest first. */
  public record Region(String name, List<String> zones) {
    /** Copies the list, so that the region cannot change. */
    public Region {
      zones = List.copyOf(zones);
    }
  }

  /** One-way delays in milliseconds. */
  public record Delays(
      double betweenZonesMillis, double betweenRegionsMillis, double toClientsMillis) {}

  /** Blocks {@code first} to {@code last}, both included, have their callers near a region. */
  public record ClientBlocks(int first, int last, String region) {}

  /** Most requests a second that may be sent from one region to another. */
  public record LinkLimit(String from, String to, double requestsPerSecond) {}

  /**
   * Cap on a shift of traffic.
   *
   * @param gainFraction most that the admitted rate may grow within one window, as a fraction of
   *     the capacity of the place it shifts to, above 0 and at most 1
   * @param window length of the sliding window
   */
  public record ShiftCap(double gainFraction, Duration window) {}

  /**
   * One service and its limits.
   *
   * @param repeatable false where a request must run at most once; such requests need a permit
   * @param targets planned number of targets over all zones
   * @param slotsPerTarget requests a target runs at the same time
   * @param connectionsPerTarget most connections to one target from all entry VMs together
   * @param meanServiceMillis planned time a request holds a slot
   * @param queuePerTarget most requests waiting at a gate for each target it holds
   * @param queueWait longest wait at a gate
   * @param longestDeadline largest deadline a caller may ask for
   * @param drainLimit how long a leaving target may finish work
   * @param retryFraction retries allowed as a fraction of first tries, 0 to 1
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

    /** Requests a second that one target carries with all slots busy. */
    public double targetCapacity() {
      return slotsPerTarget * 1000.0 / meanServiceMillis;
    }

    /** The same service whose leaving targets may finish work for {@code newLimit}. */
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

    /** The same service with other caps on shifts toward a region and toward a target. */
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

  /** The same contract, accepted at {@code acceptedRevision}. */
  public Contract atRevision(long acceptedRevision) {
    return new Contract(
        customer, acceptedRevision, regions, delays, clientBlocks, linkLimits, services);
  }

  /** The same contract with each of its services changed. */
  public Contract withServices(UnaryOperator<Service> change) {
    List<Service> changed = services.stream().map(change).toList();
    return new Contract(customer, revision, regions, delays, clientBlocks, linkLimits, changed);
  }

  /** The service with that name. */
  public Optional<Service> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** The region that has that zone. */
  public Optional<Region> regionOfZone(String zone) {
    return regions.stream().filter(region -> region.zones().contains(zone)).findFirst();
  }

  /** The region whose callers {@code block} counts as. */
  public Optional<String> regionOfBlock(int block) {
    for (ClientBlocks range : clientBlocks) {
      if (range.first() <= block && block <= range.last()) {
        return Optional.of(range.region());
      }
    }
    return Optional.empty();
  }

  /** All zones in the order of their regions. */
  public List<String> zones() {
    return regions.stream().flatMap(region -> region.zones().stream()).toList();
  }
}
