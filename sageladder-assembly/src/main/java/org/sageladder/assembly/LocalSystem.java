package org.sageladder.assembly;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.WriteResult;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * The whole system of one customer on loopback: store, targets and entry VMs on ephemeral ports.
 *
 * <pre>{@code
 * try (StoreServer store = StoreServer.start("127.0.0.1", 0);
 *     LocalSystem system = LocalSystem.start(store, contract, 1)) {
 *   system.awaitReady();
 * }
 * }</pre>
 */
public final class LocalSystem implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long READY_TIMEOUT_MILLIS = 15_000;

  private final StoreServer store;
  private final Contract contract;
  private final EntryBuild build;
  private final Map<String, EntryVm> entries = new LinkedHashMap<>();
  private final Map<String, TargetServer> targets = new LinkedHashMap<>();
  private final Map<String, ListedVm> listedVms = new LinkedHashMap<>();

  private LocalSystem(StoreServer store, Contract contract, EntryBuild build) {
    this.store = store;
    this.contract = contract;
    this.build = build;
  }

  /**
   * Applies {@code contract} and starts its targets and {@code entriesPerZone} entry VMs per zone.
   */
  public static LocalSystem start(StoreServer store, Contract contract, int entriesPerZone)
      throws IOException, InterruptedException, StoreException, SettingsException {
    return start(store, contract, entriesPerZone, EntryBuild.current());
  }

  /** Like {@link #start(StoreServer, Contract, int)}, with the entry daemons of {@code build}. */
  public static LocalSystem start(
      StoreServer store, Contract contract, int entriesPerZone, EntryBuild build)
      throws IOException, InterruptedException, StoreException, SettingsException {
    LocalSystem system = new LocalSystem(store, contract, build);
    system.applyContract();
    system.startTargets();
    for (String zone : contract.zones()) {
      for (int i = 1; i <= entriesPerZone; i++) {
        system.startEntry(zone, i);
      }
    }
    return system;
  }

  private void applyContract() throws StoreException {
    String key = StoredContract.keyOf(contract.customer());
    try (Store client = HttpStore.connect(store.address(), CALL_TIMEOUT)) {
      WriteResult result =
          client.compareAndSet(
              key, 0, new StoredContract("local", "sageladder-local", contract).toBytes(), null);
      if (!(result instanceof WriteResult.Written)) {
        throw new IllegalStateException("the store already contains " + key);
      }
    }
  }

  private void startTargets() throws IOException {
    List<String> zones = contract.zones();
    for (Contract.Service service : contract.services()) {
      for (int i = 0; i < service.targets(); i++) {
        String zone = zones.get(i % zones.size());
        String id = contract.customer() + "-" + service.name() + "-" + (i + 1);
        TargetServer target = TargetServer.start(targetOptions(id, service));
        targets.put(id, target);
        publishVm(
            new ListedVm(
                VmRole.TARGET,
                id,
                contract.customer(),
                service.name(),
                zone,
                HOST,
                target.port(),
                0,
                1,
                false));
      }
    }
  }

  private static TargetOptions targetOptions(String id, Contract.Service service) {
    return TargetOptions.create(id)
        .slots(service.slotsPerTarget())
        .serviceTime(ServiceTime.fixed(service.meanServiceMillis()));
  }

  /** Starts entry VM {@code number} of a zone and adds it to the list of VMs; returns its name. */
  public String startEntry(String zone, int number)
      throws IOException, InterruptedException, SettingsException {
    String vm = contract.customer() + "-entry-" + zone + "-" + number;
    EntryVm daemon = build.start(vm + ".yaml", settingsYaml(vm, zone));
    entries.put(vm, daemon);
    publishVm(
        new ListedVm(
            VmRole.ENTRY,
            vm,
            contract.customer(),
            "",
            zone,
            HOST,
            daemon.callersPort(),
            daemon.innerPort(),
            1,
            false));
    return vm;
  }

  private String settingsYaml(String vm, String zone) {
    URI uri = store.address();
    return String.join(
        "\n",
        "vm: " + vm,
        "customer: " + contract.customer(),
        "zone: " + zone,
        "host: " + HOST,
        "ports: {callers: 0, inner: 0, operators: 0}",
        "store: {uri: '" + uri + "', timeout: 2s}",
        "vmList: {uri: '" + uri + "', every: 1s}",
        "incarnation: {source: fixed, number: 1}",
        "callerLimits: {workers: 2}",
        "");
  }

  private void publishVm(ListedVm vm) {
    listedVms.put(vm.id(), vm);
    store.putVm(vm);
  }

  /** Waits until the contract is in force at every entry VM and all entry VMs see each other. */
  public void awaitReady() throws InterruptedException, IOException {
    long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
    List<String> waiting = new ArrayList<>(entries.keySet());
    while (!waiting.isEmpty()) {
      waiting.removeIf(vm -> entries.get(vm).isServing(entries.size()));
      if (System.currentTimeMillis() > deadlineMillis) {
        throw new IOException("not ready after " + READY_TIMEOUT_MILLIS + " ms: " + waiting);
      }
      Thread.sleep(20);
    }
  }

  /** The contract that was applied. */
  public Contract contract() {
    return contract;
  }

  /** The running entry VMs, by name. */
  public Map<String, EntryVm> entries() {
    return Map.copyOf(entries);
  }

  /** The targets, by name. */
  public Map<String, TargetServer> targets() {
    return Map.copyOf(targets);
  }

  /** Addresses of the running entry VMs for callers. */
  public List<String> callerAddresses() {
    return entries.values().stream().map(daemon -> HOST + ":" + daemon.callersPort()).toList();
  }

  /**
   * Stops an entry VM immediately, with its in-flight requests; the list of VMs may still contain
   * it for a short time.
   */
  public void killEntry(String vm) {
    EntryVm daemon = entries.remove(vm);
    if (daemon != null) {
      daemon.close();
      store.removeVm(vm);
    }
  }

  /** Makes a target drain and announces this in the list of VMs. */
  public void drainTarget(String id) {
    ListedVm vm = listedVms.get(id);
    TargetServer target = targets.get(id);
    if (vm == null || target == null) {
      throw new IllegalArgumentException(
          "no target '" + id + "'; the targets are " + targets.keySet());
    }
    target.drain();
    publishVm(vm.asLeaving());
  }

  @Override
  public void close() {
    entries.values().forEach(EntryVm::close);
    targets.values().forEach(TargetServer::close);
  }
}
