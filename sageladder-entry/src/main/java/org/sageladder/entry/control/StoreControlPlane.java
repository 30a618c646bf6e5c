package org.sageladder.entry.control;

import com.dynatrace.hash4j.hashing.Hashing;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.SettingsException;

/**
 * The simplest control plane: each entry VM polls the store and the list and computes every view
 * itself.
 *
 * <p>It puts every entry VM on the store and two entry VMs may disagree on a view for as long as
 * the list lags. It serves as the baseline that the relays are measured against.
 */
public final class StoreControlPlane implements ControlPlane {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String customer;
  private final Store store;
  private final VmList list;
  private final EventSink events;
  private final List<Consumer<ClusterState>> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService poller =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
  private volatile ClusterState state = ClusterState.empty();
  private volatile Supplier<List<ZoneSummary>> summaries = List::of;
  private volatile boolean leaving;

  private StoreControlPlane(String customer, Store store, VmList list, EventSink events) {
    this.customer = customer;
    this.store = store;
    this.list = list;
    this.events = events;
  }

  /** A control plane that polls every {@code period} from now on. */
  public static StoreControlPlane start(
      String customer, Store store, VmList list, Duration period, EventSink events) {
    StoreControlPlane plane = new StoreControlPlane(customer, store, list, events);
    var polling =
        plane.poller.scheduleWithFixedDelay(
            plane::poll, 0, period.toMillis(), TimeUnit.MILLISECONDS);
    logger.atFine().log("polling the store: %s", polling);
    return plane;
  }

  @Override
  public ClusterState state() {
    return state;
  }

  @Override
  public void onChange(Consumer<ClusterState> listener) {
    listeners.add(listener);
    listener.accept(state);
  }

  @Override
  public void summaries(Supplier<List<ZoneSummary>> own) {
    summaries = own;
  }

  @Override
  public void beginLeaving() {
    leaving = true;
  }

  @Override
  public Readiness readiness() {
    if (leaving) {
      return Readiness.LEAVING;
    }
    return state.contracts().isEmpty() ? Readiness.WAITING : Readiness.READY;
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }

  private void poll() {
    try {
      Optional<StoredValue> stored = store.read("contracts/" + customer);
      if (stored.isEmpty()) {
        return;
      }
      Contract contract = newest(StoredContract.fromStored(stored.get()).contract());
      adopt(contract, list.fetch());
    } catch (StoreException | SettingsException | RuntimeException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "the store or the list gave no news; what is known stays in force");
    }
  }

  private Contract newest(Contract read) {
    Contract known = state.contracts().get(customer);
    return known == null || known.revision() < read.revision() ? read : known;
  }

  private void adopt(Contract contract, List<ListedVm> vms) {
    Contract before = state.contracts().get(customer);
    Map<String, ZoneView> views = new LinkedHashMap<>();
    for (String zone : contract.zones()) {
      ZoneView old = state.views().get(zone);
      ZoneView fresh = view(zone, contract, vms, old == null ? 1 : old.number());
      boolean same = old != null && fresh.equals(old);
      views.put(
          zone,
          same || old == null
              ? fresh
              : new ZoneView(zone, old.number() + 1, fresh.members(), fresh.holdings()));
    }
    ClusterState next =
        new ClusterState(Map.of(customer, contract), views, List.copyOf(summaries.get()));
    boolean changed = !next.views().equals(state.views()) || !contract.equals(before);
    state = next;
    if (before == null || before.revision() != contract.revision()) {
      events.record(
          EventKind.CONTRACT_IN_FORCE, "", customer, "", contract.revision(), "read from store");
    }
    if (changed) {
      listeners.forEach(listener -> listener.accept(next));
    }
  }

  private static ZoneView view(String zone, Contract contract, List<ListedVm> vms, long number) {
    List<Member> members = new ArrayList<>();
    for (ListedVm vm : vms) {
      if (vm.role() == VmRole.ENTRY
          && vm.zone().equals(zone)
          && vm.customer().equals(contract.customer())) {
        members.add(
            new Member(
                vm.id(),
                zone,
                vm.incarnation(),
                vm.host(),
                vm.port(),
                vm.innerPort(),
                vm.leaving()));
      }
    }
    List<Holding> holdings = new ArrayList<>();
    for (ListedVm vm : vms) {
      if (vm.role() != VmRole.TARGET
          || !vm.zone().equals(zone)
          || !vm.customer().equals(contract.customer())) {
        continue;
      }
      Optional<Contract.Service> service = contract.service(vm.service());
      if (service.isEmpty()) {
        continue;
      }
      holdings.add(
          new Holding(
              vm.id(),
              vm.customer(),
              vm.service(),
              vm.host(),
              vm.port(),
              vm.incarnation(),
              holder(vm.id(), members),
              service.get().slotsPerTarget(),
              vm.leaving()));
    }
    return new ZoneView(zone, number, members, holdings);
  }

  private static String holder(String target, List<Member> members) {
    String best = "";
    long bestScore = 0;
    for (Member member : members) {
      if (member.leaving()) {
        continue;
      }
      long score = Hashing.komihash5_0().hashCharsToLong(member.vm() + '/' + target);
      if (best.isEmpty() || Long.compareUnsigned(score, bestScore) > 0) {
        best = member.vm();
        bestScore = score;
      }
    }
    return best;
  }
}
