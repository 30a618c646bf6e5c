package org.sageladder.entry.gates;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.limits.GateStats;
import org.sageladder.core.limits.ServiceGate;
import org.sageladder.core.limits.TargetHistory;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.time.TimeSource;

/**
 * The gates of this entry VM, one per service, updated with each view of the zone.
 *
 * <p>If a view moves a target, the gate that loses it sends its counts to the gate that gains it.
 * The new gate admits no requests to the target until they arrive, or for one window of the shift
 * cap.
 *
 * <p>Lock order: the lock of this table is acquired before those of the gates.
 */
public final class GateTable implements AutoCloseable {
  /** How long a history is kept until a view names this entry VM as the holder. */
  private static final long MAX_HISTORY_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

  private final String vm;
  private final String zone;
  private final String customer;
  private final Function<Contract.Service, ServiceGate> gateFactory;
  private final TimeSource time;
  private volatile List<Holding> zoneHoldings = List.of();
  private final Map<String, ServiceGate> gates = new ConcurrentHashMap<>();
  private final PreviousHolders previousHolders;
  private final LinkLimiter linkLimiter;
  private volatile HistorySender historySender = HistorySender.none();
  private final Map<String, PendingHistory> pendingHistories = new HashMap<>();

  private record PendingHistory(long viewNumber, TargetHistory history, long receivedNanos) {}

  private GateTable(
      String vm,
      String zone,
      String customer,
      TimeSource time,
      long incarnation,
      Function<Contract.Service, ServiceGate> gateFactory) {
    this.previousHolders = new PreviousHolders(vm, incarnation);
    this.linkLimiter = new LinkLimiter(vm, zone, time);
    this.vm = vm;
    this.zone = zone;
    this.customer = customer;
    this.time = time;
    this.gateFactory = gateFactory;
  }

  /**
   * Creates a table without gates.
   *
   * @param incarnation incarnation of this entry VM in the views of its zone
   * @param gateFactory creates the gate of a service when a contract first contains it
   */
  public static GateTable create(
      String vm,
      String zone,
      String customer,
      TimeSource time,
      long incarnation,
      Function<Contract.Service, ServiceGate> gateFactory) {
    return new GateTable(vm, zone, customer, time, incarnation, gateFactory);
  }

  /** Sets how new holders of targets receive the counts; until then nothing is sent. */
  public void useHistorySender(HistorySender newSender) {
    historySender = newSender;
  }

  /** Applies a new contract or view. */
  public synchronized void applyState(ClusterState state) {
    Contract contract = state.contracts().get(customer);
    if (contract == null) {
      return;
    }
    Map<String, List<Holding>> ownHoldings = new HashMap<>();
    ZoneView view = state.views().get(zone);
    Set<String> takenOver = Set.of();
    if (view != null) {
      takenOver = previousHolders.applyView(view);
      linkLimiter.applyView(contract, view);
      zoneHoldings = view.holdings();
      for (Holding holding : view.holdings()) {
        if (holding.holder().equals(vm)) {
          ownHoldings.computeIfAbsent(holding.service(), name -> new ArrayList<>()).add(holding);
        }
      }
    }
    for (Contract.Service service : contract.services()) {
      ServiceGate gate = gates.computeIfAbsent(service.name(), name -> gateFactory.apply(service));
      gate.updateService(service);
      gate.updateHoldings(ownHoldings.getOrDefault(service.name(), List.of()), takenOver);
    }
    applyPendingHistories();
    if (view != null) {
      sendHistories(view);
    }
  }

  /**
   * Receives what another entry VM's gate counted for a target that is held here now or soon.
   *
   * @param viewNumber number of the view that moved the target
   */
  public synchronized void acceptHistory(long viewNumber, TargetHistory history) {
    pendingHistories.put(history.target(), new PendingHistory(viewNumber, history, time.nanos()));
    applyPendingHistories();
  }

  /**
   * Applies the histories whose targets are held here. A history may arrive before the view that
   * names this entry VM, so it is kept for a while. One of an earlier move says nothing about the
   * last holder and is ignored.
   */
  private void applyPendingHistories() {
    long now = time.nanos();
    pendingHistories.values().removeIf(each -> now - each.receivedNanos() > MAX_HISTORY_WAIT_NANOS);
    pendingHistories.values().removeIf(this::applyIfCurrent);
  }

  private boolean applyIfCurrent(PendingHistory pending) {
    return pending.viewNumber() > previousHolders.lastViewNotHeldHere(pending.history().target())
        && gates.values().stream().anyMatch(gate -> gate.importHistory(pending.history()));
  }

  /** Sends the counts of targets that this entry VM held before to their new holders. */
  private void sendHistories(ZoneView view) {
    for (Holding holding : view.holdings()) {
      ServiceGate gate = gates.get(holding.service());
      if (gate == null || holding.holder().isEmpty() || holding.holder().equals(vm)) {
        continue;
      }
      view.members().stream()
          .filter(member -> member.vm().equals(holding.holder()))
          .findFirst()
          .ifPresent(
              member ->
                  gate.exportHistory(holding.target())
                      .ifPresent(history -> historySender.send(member, view.number(), history)));
    }
  }

  /** The gate of {@code service} if this entry VM holds a target of it, else null. */
  public @Nullable ServiceGate gateWithTargets(String service) {
    ServiceGate gate = gates.get(service);
    return gate != null && gate.holdsTargets() ? gate : null;
  }

  /** Limits requests over the links from other regions. */
  public LinkLimiter linkLimiter() {
    return linkLimiter;
  }

  /** Summaries of the gates, which this entry VM reports to others. */
  public List<ZoneSummary> summaries() {
    long now = time.wallMillis();
    return gates.entrySet().stream()
        .map(entry -> summary(entry.getKey(), entry.getValue().stats(), now))
        .toList();
  }

  private ZoneSummary summary(String service, GateStats stats, long nowMillis) {
    return new ZoneSummary(
        zone,
        customer,
        service,
        nowMillis,
        stats.usableSlots(),
        stats.busySlots(),
        stats.queuedCount(),
        stats.admittedPerSecond(),
        stats.ceilingPerSecond(),
        stats.offeredPerSecond());
  }

  /**
   * Targets of this zone with in-flight requests of this entry VM.
   *
   * <p>The next holder of such a target may use only the remaining slots.
   */
  public List<TargetReport> targetReports() {
    List<TargetReport> reports = new ArrayList<>();
    for (Holding holding : zoneHoldings) {
      ServiceGate gate = gates.get(holding.service());
      int inFlight = gate == null ? 0 : gate.inFlight(holding.target());
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
