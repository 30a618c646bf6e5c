package org.sageladder.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.limits.GateStats;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.steering.LookUpTable;
import org.sageladder.core.steering.SteeringInputs;

/**
 * A simulated entry VM with a real service gate and look-up table, whose input the simulation sets.
 */
final class EntryVm {
  final int region;
  final String zone;
  final String name;
  final List<Holding> holdings = new ArrayList<>();
  LookUpTable table = LookUpTable.build(ClusterState.empty(), SteeringInputs.at(0));
  ServiceGate gate;
  long incarnation = 1;

  EntryVm(Setup setup, VirtualScheduler scheduler, int region, String zone, int number) {
    this.region = region;
    this.zone = zone;
    this.name = zone + "v" + number;
    for (int t = 0; t < setup.targetsPerVm(); t++) {
      holdings.add(
          new Holding(
              name + "t" + t,
              Setup.CUSTOMER,
              Setup.SERVICE,
              "127.0.0.1",
              1,
              1,
              name,
              setup.slotsPerTarget(),
              false));
    }
    this.gate = newGate(setup, scheduler);
    gate.updateHoldings(holdings);
  }

  private static ServiceGate newGate(Setup setup, VirtualScheduler scheduler) {
    return ServiceGate.create(
        Setup.CUSTOMER, setup.service(), scheduler.time(), scheduler, EventSink.none());
  }

  /** Replaces the gate by an empty one, as a new process would have, for the same targets. */
  void restart(Setup setup, VirtualScheduler scheduler) {
    gate.close();
    incarnation++;
    gate = newGate(setup, scheduler);
    gate.updateHoldings(holdings, Set.copyOf(holdings.stream().map(Holding::target).toList()));
  }

  Member member() {
    return new Member(name, zone, incarnation, "127.0.0.1", 1, 2, false);
  }

  ZoneSummary summary(long nowMillis) {
    GateStats stats = gate.stats();
    return new ZoneSummary(
        zone,
        Setup.CUSTOMER,
        Setup.SERVICE,
        nowMillis,
        stats.usableSlots(),
        stats.busySlots(),
        stats.queuedCount(),
        stats.admittedPerSecond(),
        stats.ceilingPerSecond(),
        stats.offeredPerSecond());
  }
}
