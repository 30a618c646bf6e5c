package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;

/** The part of the cluster state that the routes of one service depend on. */
record ServiceFacts(Contract contract, Contract.Service service, List<Zone> zones) {

  /** A zone with the entry VMs that hold targets of the service there. */
  record Zone(String name, List<Holder> holders, ZoneReading reading) {
    int slots() {
      int slots = 0;
      for (Holder holder : holders) {
        slots += holder.slots();
      }
      return slots;
    }
  }

  /** An entry VM and the slots of the service that its gate may use. */
  record Holder(Member member, int slots) {}

  List<ZoneReading> readings() {
    return zones.stream().map(Zone::reading).toList();
  }

  boolean hasSameRoutes(ServiceFacts other) {
    if (contract.revision() != other.contract.revision() || zones.size() != other.zones.size()) {
      return false;
    }
    for (int i = 0; i < zones.size(); i++) {
      if (!zones.get(i).name().equals(other.zones.get(i).name())
          || !zones.get(i).holders().equals(other.zones.get(i).holders())) {
        return false;
      }
    }
    return true;
  }

  /**
   * Extracts the facts of one service.
   *
   * @param summaries the summaries of this service
   */
  static ServiceFacts of(
      Contract contract,
      Contract.Service service,
      ClusterState state,
      List<ZoneSummary> summaries,
      long nowMillis) {
    List<Zone> zones = new ArrayList<>();
    for (Contract.Region region : contract.regions()) {
      for (String name : region.zones()) {
        List<Holder> holders = holders(state.views().get(name), contract, service);
        int slots = holders.stream().mapToInt(Holder::slots).sum();
        double capacity = slots * 1000.0 / service.meanServiceMillis();
        ZoneReading reading = reading(name, region.name(), capacity, summaries, nowMillis);
        zones.add(new Zone(name, holders, reading));
      }
    }
    return new ServiceFacts(contract, service, List.copyOf(zones));
  }

  private static List<Holder> holders(
      @Nullable ZoneView view, Contract contract, Contract.Service service) {
    List<Holder> holders = new ArrayList<>();
    if (view == null) {
      return holders;
    }
    for (Member member : view.members()) {
      int slots = member.isDraining() ? 0 : slotsOf(member, view, contract, service);
      if (slots > 0) {
        holders.add(new Holder(member, slots));
      }
    }
    return holders;
  }

  private static int slotsOf(
      Member member, ZoneView view, Contract contract, Contract.Service service) {
    int slots = 0;
    for (Holding holding : view.holdings()) {
      if (holding.holder().equals(member.vm())
          && holding.service().equals(service.name())
          && holding.customer().equals(contract.customer())
          && !holding.isDraining()) {
        slots += holding.slots();
      }
    }
    return slots;
  }

  /**
   * Combines the summaries of a zone. Each covers a part of the zone, so that their rates add up;
   * the oldest determines the age.
   */
  private static ZoneReading reading(
      String zone, String region, double capacity, List<ZoneSummary> summaries, long nowMillis) {
    double ceiling = 0;
    double admitted = 0;
    double demand = 0;
    long takenAt = Long.MAX_VALUE;
    for (ZoneSummary summary : summaries) {
      if (summary.zone().equals(zone)) {
        ceiling += summary.ceilingPerSecond();
        admitted += summary.admittedPerSecond();
        demand += summary.demandPerSecond();
        takenAt = Math.min(takenAt, summary.takenAtMillis());
      }
    }
    ReadingAge age =
        takenAt == Long.MAX_VALUE ? ReadingAge.ABSENT : ReadingAge.of(nowMillis - takenAt);
    return new ZoneReading(zone, region, age, capacity, ceiling, admitted, demand);
  }
}
