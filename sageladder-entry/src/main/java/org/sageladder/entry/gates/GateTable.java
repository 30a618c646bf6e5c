package org.sageladder.entry.gates;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.limits.GateNumbers;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.time.TimeSource;

/** The gates of this entry VM, one for each service, kept in step with the zone's view. */
public final class GateTable implements AutoCloseable {
  private final String vm;
  private final String zone;
  private final String customer;
  private final Function<Contract.Service, ServiceGate> maker;
  private final TimeSource time;
  private volatile List<Holding> zoneHoldings = List.of();
  private final Map<String, ServiceGate> gates = new ConcurrentHashMap<>();

  private GateTable(
      String vm,
      String zone,
      String customer,
      TimeSource time,
      Function<Contract.Service, ServiceGate> maker) {
    this.vm = vm;
    this.zone = zone;
    this.customer = customer;
    this.time = time;
    this.maker = maker;
  }

  /** A table without gates; {@code maker} makes the gate of a service when it is first named. */
  public static GateTable create(
      String vm,
      String zone,
      String customer,
      TimeSource time,
      Function<Contract.Service, ServiceGate> maker) {
    return new GateTable(vm, zone, customer, time, maker);
  }

  /** Follows a new contract or view. */
  public void follow(ClusterState state) {
    Contract contract = state.contracts().get(customer);
    if (contract == null) {
      return;
    }
    Map<String, List<Holding>> held = new HashMap<>();
    ZoneView view = state.views().get(zone);
    if (view != null) {
      zoneHoldings = view.holdings();
      for (Holding holding : view.holdings()) {
        if (holding.holder().equals(vm)) {
          held.computeIfAbsent(holding.service(), name -> new ArrayList<>()).add(holding);
        }
      }
    }
    for (Contract.Service service : contract.services()) {
      ServiceGate gate = gates.computeIfAbsent(service.name(), name -> maker.apply(service));
      gate.contract(service);
      gate.holdings(held.getOrDefault(service.name(), List.of()));
    }
  }

  /** The gate of {@code service} where this entry VM holds a target of it, else null. */
  public @Nullable ServiceGate holding(String service) {
    ServiceGate gate = gates.get(service);
    return gate != null && gate.holdsTargets() ? gate : null;
  }

  /** What this entry VM reports of its gates. */
  public List<ZoneSummary> summaries() {
    long now = time.wallMillis();
    return gates.entrySet().stream()
        .map(entry -> summary(entry.getKey(), entry.getValue().numbers(), now))
        .toList();
  }

  private ZoneSummary summary(String service, GateNumbers numbers, long nowMillis) {
    return new ZoneSummary(
        zone,
        customer,
        service,
        nowMillis,
        numbers.slots(),
        numbers.busy(),
        numbers.queued(),
        numbers.admittedPerSecond(),
        numbers.ceilingPerSecond(),
        numbers.offeredPerSecond());
  }

  /**
   * Targets of this zone at which requests of this entry VM are in flight.
   *
   * <p>The next holder of such a target gets only the slots that these leave.
   */
  public List<TargetReport> targetReports() {
    List<TargetReport> reports = new ArrayList<>();
    for (Holding holding : zoneHoldings) {
      ServiceGate gate = gates.get(holding.service());
      int inFlight = gate == null ? 0 : gate.busy(holding.target());
      if (inFlight > 0) {
        reports.add(new TargetReport(holding.target(), 0, false, inFlight, false));
      }
    }
    return reports;
  }

  /** The gates by service. */
  public Map<String, ServiceGate> byService() {
    return Map.copyOf(gates);
  }

  @Override
  public void close() {
    gates.values().forEach(ServiceGate::close);
  }
}
