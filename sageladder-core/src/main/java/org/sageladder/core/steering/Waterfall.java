package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;

/**
 * Divides each region's demand for one service over the zones: first over the region's own zones,
 * the rest over other regions in proportion to their headroom, within the link limits.
 *
 * <pre>{@code
 * double[][] fractions = Waterfall.divide(contract, readings);
 * double toZone = fractions[callerRegionIndex][zoneIndex]; // fractions of one region add up to 1
 * }</pre>
 *
 * <p>A pure function of its arguments: entry VMs with the same readings compute the same fractions.
 * Because these depend on demand and not on idle slots, the VMs do not all send to the same idle
 * zone.
 */
public final class Waterfall {
  private static final double MIN_DEMAND_PER_SECOND = 1e-6;

  private final Contract contract;
  private final List<ZoneReading> zones;
  private final double[] demand;
  private final double[] remainingPerSecond;
  private final double[][] assignedPerSecond;

  private Waterfall(Contract contract, List<ZoneReading> zones, double[] demand) {
    int regions = contract.regions().size();
    this.contract = contract;
    this.zones = zones;
    this.demand = demand.clone();
    this.remainingPerSecond = new double[zones.size()];
    this.assignedPerSecond = new double[regions][zones.size()];
    for (int zone = 0; zone < zones.size(); zone++) {
      remainingPerSecond[zone] = zones.get(zone).usablePerSecond();
    }
    for (int region = 0; region < regions; region++) {
      this.demand[region] = Math.max(MIN_DEMAND_PER_SECOND, demand[region]);
    }
  }

  /**
   * Returns the fractions by region of the caller (in the contract's order) and by zone (in the
   * order of {@code zones}). The fractions of a region add up to 1, or are all 0 if no zone has
   * capacity.
   */
  public static double[][] divide(Contract contract, List<ZoneReading> zones) {
    double[] demand = new double[contract.regions().size()];
    for (ZoneReading zone : zones) {
      for (int region = 0; region < demand.length; region++) {
        boolean isOwnRegion = contract.regions().get(region).name().equals(zone.region());
        demand[region] += isOwnRegion ? zone.demandPerSecond() : 0;
      }
    }
    return divide(contract, zones, demand);
  }

  /** Like {@link #divide(Contract, List)}, with the demand of each region's callers given. */
  static double[][] divide(Contract contract, List<ZoneReading> zones, double[] demand) {
    Waterfall waterfall = new Waterfall(contract, zones, demand);
    int regions = contract.regions().size();
    double[] excessPerSecond = new double[regions];
    for (int region = 0; region < regions; region++) {
      excessPerSecond[region] = waterfall.assignLocal(region);
    }
    double[] spilledPerSecond = waterfall.spill(excessPerSecond);
    for (int region = 0; region < regions; region++) {
      waterfall.assignUnserved(region, excessPerSecond[region] - spilledPerSecond[region]);
    }
    return waterfall.toFractions();
  }

  /**
   * Assigns the region's own callers to its zones as far as these have capacity; returns the rest
   * of the demand.
   */
  private double assignLocal(int region) {
    List<Integer> localZones = zonesOf(region);
    double localPerSecond = Math.min(demand[region], totalRemaining(localZones));
    assignProportionally(region, localZones, localPerSecond);
    return demand[region] - localPerSecond;
  }

  /**
   * Sends the demand that exceeds a region's capacity to the other regions, in proportion to their
   * headroom.
   *
   * <p>All regions are served simultaneously, each in proportion to its excess, so that the order
   * of the contract's regions favors none.
   */
  private double[] spill(double[] excess) {
    double total = 0;
    for (double regionExcess : excess) {
      total += regionExcess;
    }
    double[] headroom = remainingPerSecond.clone();
    double[] spilled = new double[excess.length];
    for (int from = 0; from < excess.length; from++) {
      if (excess[from] <= 0) {
        continue;
      }
      double share = excess[from] / total;
      spilled[from] = spillFrom(from, excess[from], share, headroom);
    }
    return spilled;
  }

  private double spillFrom(int from, double excess, double share, double[] headroom) {
    double reachablePerSecond = 0;
    double[] headroomByRegion = new double[contract.regions().size()];
    for (int to = 0; to < headroomByRegion.length; to++) {
      if (to != from) {
        headroomByRegion[to] =
            Math.min(linkLimit(from, to), share * headroomForRemoteCallers(to, headroom));
        reachablePerSecond += headroomByRegion[to];
      }
    }
    double sentPerSecond = Math.min(excess, reachablePerSecond);
    for (int to = 0; to < headroomByRegion.length && reachablePerSecond > 0; to++) {
      if (headroomByRegion[to] > 0) {
        assignProportionally(
            from,
            zonesAcceptingRemoteCallers(to),
            sentPerSecond * headroomByRegion[to] / reachablePerSecond);
      }
    }
    return sentPerSecond;
  }

  private double headroomForRemoteCallers(int region, double[] headroom) {
    double regionHeadroom = 0;
    for (int zone : zonesAcceptingRemoteCallers(region)) {
      regionHeadroom += headroom[zone];
    }
    return regionHeadroom;
  }

  private double linkLimit(int from, int to) {
    String fromName = contract.regions().get(from).name();
    String toName = contract.regions().get(to).name();
    for (Contract.LinkLimit limit : contract.linkLimits()) {
      if (limit.from().equals(fromName) && limit.to().equals(toName)) {
        return limit.requestsPerSecond();
      }
    }
    return Double.MAX_VALUE;
  }

  /**
   * Assigns demand that no zone has capacity for. It stays in its own region, where it is queued or
   * refused, unless that region has no capacity at all.
   */
  private void assignUnserved(int region, double unservedPerSecond) {
    if (unservedPerSecond <= 0) {
      return;
    }
    List<Integer> candidates = withCapacity(zonesOf(region));
    if (candidates.isEmpty()) {
      candidates = withCapacity(allZones());
    }
    double capacity = 0;
    for (int zone : candidates) {
      capacity += zones.get(zone).capacityPerSecond();
    }
    for (int zone : candidates) {
      assignedPerSecond[region][zone] +=
          unservedPerSecond * zones.get(zone).capacityPerSecond() / capacity;
    }
  }

  private void assignProportionally(int region, List<Integer> candidates, double perSecond) {
    double totalRemaining = totalRemaining(candidates);
    if (totalRemaining <= 0 || perSecond <= 0) {
      return;
    }
    double assigned = Math.min(perSecond, totalRemaining);
    for (int zone : candidates) {
      double share = assigned * remainingPerSecond[zone] / totalRemaining;
      assignedPerSecond[region][zone] += share;
      remainingPerSecond[zone] -= share;
    }
  }

  private double totalRemaining(List<Integer> candidates) {
    double sum = 0;
    for (int zone : candidates) {
      sum += remainingPerSecond[zone];
    }
    return sum;
  }

  private List<Integer> zonesOf(int region) {
    List<Integer> found = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      if (zones.get(zone).region().equals(contract.regions().get(region).name())) {
        found.add(zone);
      }
    }
    return found;
  }

  private List<Integer> zonesAcceptingRemoteCallers(int region) {
    List<Integer> found = zonesOf(region);
    found.removeIf(zone -> !zones.get(zone).acceptsRemoteCallers());
    return found;
  }

  private List<Integer> allZones() {
    List<Integer> all = new ArrayList<>();
    for (int zone = 0; zone < zones.size(); zone++) {
      all.add(zone);
    }
    return all;
  }

  private List<Integer> withCapacity(List<Integer> candidates) {
    candidates.removeIf(zone -> zones.get(zone).capacityPerSecond() <= 0);
    return candidates;
  }

  private double[][] toFractions() {
    for (double[] row : assignedPerSecond) {
      double sum = 0;
      for (double one : row) {
        sum += one;
      }
      for (int zone = 0; zone < row.length && sum > 0; zone++) {
        row[zone] /= sum;
      }
    }
    return assignedPerSecond;
  }
}
