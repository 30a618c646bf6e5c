package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;

/** The routes of one service, one set for the callers of each region. */
final class ServiceTable {
  private static final int MOST_ENTRIES = 4;

  private final Contract contract;
  private final Map<String, List<Route>> routesByRegion;

  private ServiceTable(Contract contract, Map<String, List<Route>> routesByRegion) {
    this.contract = contract;
    this.routesByRegion = routesByRegion;
  }

  static ServiceTable build(
      Contract contract, Contract.Service service, ClusterState state, SteeringInputs inputs) {
    Map<String, List<Route>> routes = new HashMap<>();
    for (Contract.Region region : contract.regions()) {
      routes.put(region.name(), routesFor(region, contract, service, state, inputs));
    }
    return new ServiceTable(contract, routes);
  }

  @Nullable Route route(int block, long random) {
    String region = contract.regionOfBlock(block).orElse("");
    List<Route> routes = routesByRegion.getOrDefault(region, List.of());
    return routes.isEmpty() ? null : routes.get((int) Math.floorMod(random, (long) routes.size()));
  }

  /** One route for each gate holder of the nearest region that has any. */
  private static List<Route> routesFor(
      Contract.Region home,
      Contract contract,
      Contract.Service service,
      ClusterState state,
      SteeringInputs inputs) {
    for (Contract.Region region : nearestFirst(home, contract)) {
      List<Route> routes = new ArrayList<>();
      for (String zone : region.zones()) {
        for (Member first : holders(zone, contract, service, state)) {
          List<Member> entries = entries(first, home, contract, service, state);
          String reason =
              (region.equals(home) ? "in the caller's region, " : "nearest region, ") + zone;
          routes.add(new Route(entries, contract.revision(), inputs.ttlMillis(), reason));
        }
      }
      if (!routes.isEmpty()) {
        return List.copyOf(routes);
      }
    }
    return List.of();
  }

  private static List<Contract.Region> nearestFirst(Contract.Region home, Contract contract) {
    List<Contract.Region> regions = new ArrayList<>(contract.regions());
    regions.remove(home);
    regions.add(0, home);
    return regions;
  }

  /** Entry VMs of the zone that hold a usable target, one mention for each target they hold. */
  private static List<Member> holders(
      String zone, Contract contract, Contract.Service service, ClusterState state) {
    ZoneView view = state.views().get(zone);
    List<Member> holders = new ArrayList<>();
    if (view == null) {
      return holders;
    }
    for (Holding holding : view.holdings()) {
      if (!isUsable(holding, contract, service)) {
        continue;
      }
      for (Member member : view.members()) {
        if (member.vm().equals(holding.holder()) && !member.leaving()) {
          holders.add(member);
        }
      }
    }
    return holders;
  }

  private static boolean isUsable(Holding holding, Contract contract, Contract.Service service) {
    return holding.customer().equals(contract.customer())
        && holding.service().equals(service.name())
        && !holding.leaving()
        && holding.slots() > 0;
  }

  private static List<Member> entries(
      Member first,
      Contract.Region home,
      Contract contract,
      Contract.Service service,
      ClusterState state) {
    List<Member> entries = new ArrayList<>();
    entries.add(first);
    addOthers(entries, holders(first.zone(), contract, service, state));
    for (Contract.Region region : nearestFirst(home, contract)) {
      for (String zone : region.zones()) {
        addOthers(entries, holders(zone, contract, service, state));
      }
    }
    return entries;
  }

  private static void addOthers(List<Member> entries, List<Member> more) {
    for (Member member : more) {
      if (entries.size() >= MOST_ENTRIES) {
        return;
      }
      if (!entries.contains(member)) {
        entries.add(member);
      }
    }
  }
}
