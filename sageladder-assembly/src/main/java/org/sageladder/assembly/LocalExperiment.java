package org.sageladder.assembly;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.store.StoreException;
import org.sageladder.platform.store.HttpVmList;
import org.sageladder.standin.store.StoreFaults;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.TargetFaults;
import org.sageladder.standin.target.TargetServer;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.load.ContractChange;
import org.sageladder.tools.load.Experiment.Fault;
import org.sageladder.tools.load.SystemUnderTest;
import org.sageladder.tools.load.TargetView;

/** Gives an experiment access to the whole system in this process. */
final class LocalExperiment implements SystemUnderTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final JsonMapper JSON = new JsonMapper();

  private final StoreServer store;
  private final LocalSystem system;
  private final Map<String, ListedVm> listedVms = new TreeMap<>();
  private final Map<String, EntryVm> entries;
  private final List<TargetView> targets = new ArrayList<>();
  private final BlockingHttpClient httpClient = BlockingHttpClient.withTimeout(TIMEOUT);
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, task -> new Thread(task, "experiment"));

  private LocalExperiment(StoreServer store, LocalSystem system) {
    this.store = store;
    this.system = system;
    this.entries = new ConcurrentHashMap<>(system.entries());
  }

  static LocalExperiment of(StoreServer store, LocalSystem system) throws IOException {
    LocalExperiment experiment = new LocalExperiment(store, system);
    try (HttpVmList list = HttpVmList.connect(store.address(), TIMEOUT)) {
      for (ListedVm vm : list.fetch()) {
        experiment.listedVms.put(vm.id(), vm);
      }
    } catch (StoreException e) {
      throw new IOException("cannot read the list of VMs: " + e.getMessage(), e);
    }
    for (ListedVm vm : experiment.listedVms.values()) {
      TargetServer server = system.targets().get(vm.id());
      if (server != null) {
        experiment.targets.add(new LocalTarget(vm, server));
      }
    }
    return experiment;
  }

  private record LocalTarget(ListedVm vm, TargetServer server) implements TargetView {
    @Override
    public String id() {
      return vm.id();
    }

    @Override
    public String service() {
      return vm.service();
    }

    @Override
    public String zone() {
      return vm.zone();
    }

    @Override
    public int slots() {
      return server.options().slots();
    }

    @Override
    public URI address() {
      return server.address();
    }

    @Override
    public Reading read() {
      return new Reading(server.executions().total(), server.busySlotCount(), server.queuedCount());
    }

    @Override
    public Map<String, Integer> executions() {
      Map<String, Integer> counts = new HashMap<>();
      for (String key : server.executions().keys()) {
        counts.put(key, server.executions().count(key));
      }
      return counts;
    }
  }

  @Override
  public List<String> callerAddresses() {
    return system.callerAddresses();
  }

  @Override
  public List<URI> operatorAddresses() {
    return entries.values().stream()
        .map(daemon -> URI.create("http://127.0.0.1:" + daemon.operatorsPort()))
        .toList();
  }

  @Override
  public List<TargetView> targets() {
    return List.copyOf(targets);
  }

  @Override
  public String inject(Fault fault) throws IOException {
    return switch (fault.kind()) {
      case KILL_ENTRY -> killEntry(selectVm(fault, VmRole.ENTRY));
      case STOP_ENTRY -> stopEntry(selectVm(fault, VmRole.ENTRY));
      case DRAIN_TARGET -> announceDrain(selectVm(fault, VmRole.TARGET));
      case CRASH_TARGET -> crashTarget(selectVm(fault, VmRole.TARGET));
      case SLOW_TARGET -> injectTargetFault(fault, faults -> faults.withSlowFactor(fault.factor()));
      case SHED_TARGET -> injectTargetFault(fault, faults -> faults.withShed(true));
      case MISLEADING_LOAD -> injectTargetFault(fault, faults -> faults.withReportBusy(0));
      case STORE_DOWN -> stopStore(fault);
      case CHANGE_CONTRACT ->
          ContractChange.extendDrainLimit(store.address(), system.contract().customer());
    };
  }

  private ListedVm selectVm(Fault fault, VmRole role) throws IOException {
    for (ListedVm vm : listedVms.values()) {
      boolean matches =
          vm.role() == role
              && !vm.leaving()
              && (fault.zone().isEmpty() || fault.zone().equals(vm.zone()))
              && (fault.service().isEmpty() || fault.service().equals(vm.service()));
      if (matches && (role == VmRole.TARGET || entries.containsKey(vm.id()))) {
        return vm;
      }
    }
    throw new IOException("no running " + role + " in the chosen zone and service");
  }

  private String killEntry(ListedVm vm) {
    entries.remove(vm.id());
    system.killEntry(vm.id());
    return vm.id();
  }

  private String stopEntry(ListedVm vm) {
    EntryVm daemon = entries.remove(vm.id());
    markLeaving(vm);
    if (daemon != null) {
      scheduler.execute(
          () -> {
            try {
              daemon.stop();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            store.removeVm(vm.id());
          });
    }
    return vm.id();
  }

  /**
   * Announces the drain only in the list of VMs. The target itself still accepts work, so that the
   * requests it receives afterwards show whether entry VMs follow the list.
   */
  private String announceDrain(ListedVm vm) {
    markLeaving(vm);
    return vm.id();
  }

  private void markLeaving(ListedVm vm) {
    ListedVm marked = vm.asLeaving();
    listedVms.put(vm.id(), marked);
    store.putVm(marked);
  }

  private String crashTarget(ListedVm vm) throws IOException {
    targetServer(vm).crash();
    return vm.id();
  }

  private String injectTargetFault(Fault fault, UnaryOperator<TargetFaults> change)
      throws IOException {
    ListedVm vm = selectVm(fault, VmRole.TARGET);
    TargetServer server = targetServer(vm);
    server.setFaults(change.apply(server.faults()));
    scheduleUndo(fault, () -> server.setFaults(TargetFaults.none()));
    return vm.id();
  }

  private String stopStore(Fault fault) {
    store.setFaults(StoreFaults.none().withDown(true));
    scheduleUndo(fault, () -> store.setFaults(StoreFaults.none()));
    return "store";
  }

  private void scheduleUndo(Fault fault, Runnable undo) {
    if (!fault.duration().isZero()) {
      var unused = scheduler.schedule(undo, fault.duration().toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  private TargetServer targetServer(ListedVm vm) throws IOException {
    TargetServer server = system.targets().get(vm.id());
    if (server == null) {
      throw new IOException("target '" + vm.id() + "' does not run in this process");
    }
    return server;
  }

  @Override
  public Map<String, Long> revisionsInForce() throws IOException {
    Map<String, Long> revisions = new TreeMap<>();
    for (Map.Entry<String, EntryVm> entry : entries.entrySet()) {
      URI state = URI.create("http://127.0.0.1:" + entry.getValue().operatorsPort() + "/v1/state");
      JsonNode json = JSON.readTree(httpClient.get(state).body());
      String customer = system.contract().customer();
      revisions.put(entry.getKey(), json.path("revisions").path(customer).asLong());
    }
    return revisions;
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
    httpClient.close();
    system.close();
    store.close();
  }
}
