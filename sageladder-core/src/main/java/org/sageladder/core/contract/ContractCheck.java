package org.sageladder.core.contract;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.sageladder.core.contract.Contract.ClientBlocks;
import org.sageladder.core.contract.Contract.LinkLimit;
import org.sageladder.core.contract.Contract.Region;
import org.sageladder.core.contract.Contract.Service;
import org.sageladder.core.contract.Contract.ShiftCap;

/**
 * Checks the consistency of a contract before it is accepted.
 *
 * <pre>{@code
 * List<Problem> problems = ContractCheck.problems(contract);
 * if (problems.isEmpty()) { apply(contract); }
 * }</pre>
 *
 * <p>It finds what checking single values cannot: names that no region or zone has, ranges that
 * overlap or leave gaps, sums that do not match, and caps or limits that can never be reached.
 */
public final class ContractCheck {
  private final Contract contract;
  private final List<Problem> problems = new ArrayList<>();

  private ContractCheck(Contract contract) {
    this.contract = contract;
  }

  /**
   * One reason to reject a contract.
   *
   * @param key path of the setting in the contract file
   * @param message what is wrong, with the values concerned and what would be accepted
   */
  public record Problem(String key, String message) {
    @Override
    public String toString() {
      return key + ": " + message;
    }
  }

  /** Returns all problems in the order of the contract's sections; empty if it may be accepted. */
  public static List<Problem> problems(Contract contract) {
    ContractCheck check = new ContractCheck(contract);
    check.checkRegions();
    check.checkDelays();
    check.checkClientBlocks();
    check.checkServices();
    check.checkLinkLimits();
    return List.copyOf(check.problems);
  }

  private void checkRegions() {
    if (contract.regions().isEmpty()) {
      addProblem("regions", "none; give at least one region with at least one zone");
    }
    Set<String> regions = new HashSet<>();
    Set<String> zones = new HashSet<>();
    for (Region region : contract.regions()) {
      String key = "regions[" + region.name() + "]";
      if (!regions.add(region.name())) {
        addProblem(key, "the region is given twice; give each name once");
      }
      if (region.zones().isEmpty()) {
        addProblem(key + ".zones", "none; give at least one zone");
      }
      for (String zone : region.zones()) {
        if (!zones.add(zone)) {
          addProblem(key + ".zones", "zone '" + zone + "' is given twice; a zone is in one region");
        }
      }
    }
  }

  private void checkDelays() {
    Contract.Delays delays = contract.delays();
    if (delays.betweenZonesMillis() > delays.betweenRegionsMillis()) {
      addProblem(
          "delays.betweenZones",
          delays.betweenZonesMillis()
              + " ms is longer than betweenRegions, "
              + delays.betweenRegionsMillis()
              + " ms; zones of one region must be closer to each other than regions");
    }
  }

  /**
   * A look-up indexes a table by block, so every block from 0 to the last needs exactly one region.
   */
  private void checkClientBlocks() {
    if (contract.clientBlocks().isEmpty()) {
      addProblem(
          "clientBlocks", "none; give the blocks of each region's callers, from 0 without gaps");
    }
    int next = 0;
    List<ClientBlocks> ordered =
        contract.clientBlocks().stream()
            .sorted(Comparator.comparingInt(ClientBlocks::first))
            .toList();
    for (ClientBlocks range : ordered) {
      String key = "clientBlocks[" + range.first() + "-" + range.last() + "]";
      checkRegionKnown(key + ".region", range.region());
      if (range.first() < next) {
        addProblem(
            key + ".first",
            "block " + range.first() + " is in another range too; start at " + next);
      } else if (range.first() > next) {
        addProblem(
            key + ".first", "blocks " + next + " to " + (range.first() - 1) + " are in no range");
      }
      next = Math.max(next, range.last() + 1);
    }
  }

  private void checkServices() {
    if (contract.services().isEmpty()) {
      addProblem("services", "none; give at least one service");
    }
    Set<String> names = new HashSet<>();
    for (Service service : contract.services()) {
      String key = "services[" + service.name() + "]";
      if (!names.add(service.name())) {
        addProblem(key, "the service is given twice; give each name once");
      }
      checkTimes(key, service);
      checkConnectionsAndRetries(key, service);
      checkCaps(key, service);
    }
  }

  private void checkTimes(String key, Service service) {
    double deadlineMillis = service.longestDeadline().toNanos() / 1e6;
    if (service.meanServiceMillis() > deadlineMillis) {
      addProblem(
          key + ".longestDeadline",
          formatNumber(deadlineMillis)
              + " ms is shorter than meanService, "
              + formatNumber(service.meanServiceMillis())
              + " ms; most requests would miss their deadline");
    }
    if (service.queueWait().compareTo(service.longestDeadline()) > 0) {
      addProblem(
          key + ".queueWait", "it is longer than longestDeadline; no request may wait that long");
    }
    double drainMillis = service.drainLimit().toNanos() / 1e6;
    if (drainMillis < 2 * service.meanServiceMillis()) {
      addProblem(
          key + ".drainLimit",
          formatNumber(drainMillis)
              + " ms would cut off requests in flight; give at least twice meanService, "
              + formatNumber(2 * service.meanServiceMillis())
              + " ms");
    }
    double fullQueueMillis =
        service.queuePerTarget() * service.meanServiceMillis() / service.slotsPerTarget();
    double queueWaitMillis = service.queueWait().toNanos() / 1e6;
    if (fullQueueMillis > queueWaitMillis) {
      addProblem(
          key + ".queuePerTarget",
          "the last of "
              + service.queuePerTarget()
              + " waits about "
              + formatNumber(fullQueueMillis)
              + " ms, more than queueWait, "
              + formatNumber(queueWaitMillis)
              + " ms; give at most "
              + (int) (queueWaitMillis * service.slotsPerTarget() / service.meanServiceMillis()));
    }
  }

  private void checkConnectionsAndRetries(String key, Service service) {
    if (service.connectionsPerTarget() < service.slotsPerTarget()) {
      addProblem(
          key + ".connectionsPerTarget",
          service.connectionsPerTarget()
              + " connections cannot fill "
              + service.slotsPerTarget()
              + " slots; give at least as many connections as slots");
    }
    if (!service.repeatable() && service.retryFraction() > 0) {
      addProblem(
          key + ".retryFraction",
          formatNumber(service.retryFraction())
              + " for requests that must not repeat; give 0, or repeatable: true");
    }
  }

  private void checkCaps(String key, Service service) {
    checkCapAllowsGrowth(key + ".regionShiftCap", service.regionShiftCap(), zoneCapacity(service));
    checkCapAllowsGrowth(
        key + ".targetShiftCap", service.targetShiftCap(), service.targetCapacity());
    double regionRate = gainPerSecond(service.regionShiftCap());
    double targetRate = gainPerSecond(service.targetShiftCap());
    if (targetRate < regionRate) {
      addProblem(
          key + ".regionShiftCap",
          "it lets a region gain "
              + formatNumber(100 * regionRate)
              + " % of its capacity a second, which is out of reach while targetShiftCap lets its"
              + " targets gain "
              + formatNumber(100 * targetRate)
              + " %; lower it or raise targetShiftCap");
    }
  }

  /** If a cap allowed less than one more request per window, traffic could never grow from zero. */
  private void checkCapAllowsGrowth(String key, ShiftCap cap, double capacity) {
    double gained = cap.gainFraction() * capacity * cap.window().toNanos() / 1e9;
    if (gained < 1) {
      addProblem(
          key,
          "it admits "
              + formatNumber(gained)
              + " requests more in a window, so traffic could never shift; let it be at least 1");
    }
  }

  private void checkLinkLimits() {
    Set<String> links = new HashSet<>();
    for (LinkLimit limit : contract.linkLimits()) {
      String key = "linkLimits[" + limit.from() + "-" + limit.to() + "]";
      checkRegionKnown(key + ".from", limit.from());
      checkRegionKnown(key + ".to", limit.to());
      if (limit.from().equals(limit.to())) {
        addProblem(key, "a link must connect two different regions");
      }
      if (!links.add(limit.from() + " " + limit.to())) {
        addProblem(key, "the link is given twice; give each direction once");
      }
      double capacity = regionCapacity(limit.to());
      if (capacity > 0 && limit.requestsPerSecond() > capacity) {
        addProblem(
            key + ".requestsPerSecond",
            formatNumber(limit.requestsPerSecond())
                + " is more than the sum that the targets of '"
                + limit.to()
                + "' carry, "
                + formatNumber(capacity)
                + "; the limit could never hold");
      }
    }
  }

  private void checkRegionKnown(String key, String name) {
    List<String> names = contract.regions().stream().map(Region::name).toList();
    if (!names.contains(name)) {
      addProblem(key, "no region is named '" + name + "'; regions: " + String.join(", ", names));
    }
  }

  private double zoneCapacity(Service service) {
    return service.targets() * service.targetCapacity() / Math.max(1, contract.zones().size());
  }

  private double regionCapacity(String regionName) {
    double capacity = 0;
    for (Region region : contract.regions()) {
      if (!region.name().equals(regionName)) {
        continue;
      }
      for (Service service : contract.services()) {
        capacity += region.zones().size() * zoneCapacity(service);
      }
    }
    return capacity;
  }

  private static double gainPerSecond(ShiftCap cap) {
    return cap.gainFraction() * 1e9 / cap.window().toNanos();
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number)
        ? String.valueOf((long) number)
        : String.format(Locale.ROOT, "%.3g", number);
  }

  private void addProblem(String key, String message) {
    problems.add(new Problem(key, message));
  }
}
