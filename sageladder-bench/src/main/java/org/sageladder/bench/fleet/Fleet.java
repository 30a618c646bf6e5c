package org.sageladder.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import org.sageladder.bench.process.ClassArchive;
import org.sageladder.bench.process.EntryOptions;
import org.sageladder.bench.process.EntryProcess;
import org.sageladder.bench.process.RunFolder;
import org.sageladder.bench.process.StandIns;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;
import org.sageladder.tools.http.BlockingHttpClient;

/**
 * Entry VMs as separate processes, with a store stand-in in this process.
 *
 * <pre>{@code
 * try (Fleet fleet = Fleet.start(new FleetOptions(Contracts.of(6, 24, 100), 7, 32))) {
 *   long revision = fleet.writeContract(changed).revision();
 *   fleet.awaitRevision(revision, Duration.ofSeconds(10), vm -> true);
 * }
 * }</pre>
 */
public final class Fleet implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_PARALLEL_STARTS = 4;
  private static final int CLOSED_PORT = 9;
  private static final List<String> SMALL_JVM_OPTIONS =
      List.of("-XX:ReservedCodeCacheSize=24m", "-XX:-UsePerfData", "-Xss256k", "-Xms8m");
  private static final String SETTINGS =
      """
      innerKeys: ['bench:c2FnZWxhZGRlci1iZW5jaC1rZXk=']
      incarnation: {source: clock}
      eventCapacity: 4096
      callerLimits: {workers: 1}
      logs: {level: warning}
      """;

  private final FleetOptions options;
  private final RunFolder folder;
  private final StandIns standIns;
  private final HttpStore client;
  private final BlockingHttpClient httpClient;
  private final Map<String, FleetVm> vms = new LinkedHashMap<>();
  private final Map<String, TreeMap<Long, Long>> inForceMicrosByVm = new LinkedHashMap<>();
  private final List<String> reverts = new ArrayList<>();
  private final Map<String, Long> lastRevision = new LinkedHashMap<>();

  private Fleet(FleetOptions options) throws IOException {
    this.options = options;
    this.folder = RunFolder.create("sageladder-fleet");
    this.standIns = StandIns.start(options.contract().customer());
    this.client = HttpStore.connect(store().address(), CALL_TIMEOUT);
    this.httpClient = BlockingHttpClient.withTimeout(CALL_TIMEOUT);
  }

  /**
   * Stores the contract, starts all entry VMs and waits until the contract is in force at each of
   * them.
   */
  public static Fleet start(FleetOptions options)
      throws IOException, InterruptedException, StoreException {
    Fleet fleet = new Fleet(options);
    try {
      fleet.startAll();
      return fleet;
    } catch (IOException | InterruptedException | StoreException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws IOException, InterruptedException, StoreException {
    Acceptance first = writeContract(options.contract());
    listTargets();
    EntryOptions baseOptions = ClassArchive.withArchive(entryOptions());
    ExecutorService starters = Executors.newFixedThreadPool(MAX_PARALLEL_STARTS);
    List<Future<?>> pendingStarts = new ArrayList<>();
    for (String zone : options.contract().zones()) {
      for (int i = 0; i < options.vmsPerZone(); i++) {
        String name = zone + "-vm-" + i;
        pendingStarts.add(starters.submit(() -> startVm(baseOptions.vm(name, zone))));
      }
    }
    for (Future<?> start : pendingStarts) {
      try {
        start.get();
      } catch (java.util.concurrent.ExecutionException e) {
        throw new IOException("an entry VM did not start", e.getCause());
      }
    }
    starters.shutdown();
    awaitRevision(first.revision(), Duration.ofSeconds(30), vm -> true);
    awaitViews(Duration.ofSeconds(30));
  }

  private Void startVm(EntryOptions entry) throws IOException {
    EntryProcess process = EntryProcess.launch(entry, folder.path());
    synchronized (vms) {
      vms.put(entry.vm(), FleetVm.of(process, httpClient));
    }
    process.awaitReady();
    standIns.listEntry(process, 0, false);
    return null;
  }

  private EntryOptions entryOptions() {
    Contract contract = options.contract();
    return EntryOptions.of("probe", contract.customer(), contract.zones().get(0), store().address())
        .storeTimeout("2s")
        .listInterval("1s")
        .heapMegabytes(options.heapMegabytes())
        .jvmOptions(SMALL_JVM_OPTIONS)
        .settings(SETTINGS);
  }

  private void listTargets() throws IOException {
    List<String> zones = options.contract().zones();
    for (Contract.Service service : options.contract().services()) {
      for (int i = 0; i < service.targets(); i++) {
        String id = service.name() + "-" + i;
        String zone = zones.get(i % zones.size());
        if (options.hasRealTargets()) {
          startTarget(id, service, zone);
        } else {
          standIns.listTarget(id, service.name(), zone, CLOSED_PORT, 1);
        }
      }
    }
  }

  private void startTarget(String id, Contract.Service service, String zone) throws IOException {
    standIns.startTarget(
        TargetOptions.create(id)
            .slots(service.slotsPerTarget())
            .serviceTime(ServiceTime.fixed(service.meanServiceMillis())),
        service.name(),
        zone);
  }

  /** Number of requests that each target has started since the target's start, by target id. */
  public Map<String, Long> startedRequestCounts() {
    Map<String, Long> counts = new TreeMap<>();
    standIns
        .targets()
        .forEach(target -> counts.put(target.options().id(), target.executions().total()));
    return counts;
  }

  /** Kills all entry VMs of a zone; its targets keep running. */
  public void killEntryVms(String zone) throws InterruptedException {
    for (FleetVm vm : vms()) {
      if (vm.zone().equals(zone)) {
        vm.kill();
      }
    }
  }

  /** Kills all entry VMs and targets of a zone; the platform's list still contains them. */
  public void killZone(String zone) throws InterruptedException {
    killEntryVms(zone);
    standIns.targetsIn(zone).forEach(TargetServer::close);
  }

  /**
   * A contract change that the store has accepted; times are in microseconds since the Unix epoch.
   */
  public record Acceptance(long revision, long sentMicros, long answeredMicros) {}

  /**
   * Replaces the stored contract regardless of its revision. Times are of the system clock, which
   * the VMs share.
   */
  public Acceptance writeContract(Contract contract) throws StoreException {
    String key = StoredContract.keyOf(contract.customer());
    byte[] value =
        new StoredContract(java.util.UUID.randomUUID().toString(), "bench", contract).toBytes();
    while (true) {
      long baseRevision = client.read(key).map(StoredValue::revision).orElse(0L);
      long sent = nowMicros();
      if (client.compareAndSet(key, baseRevision, value, null)
          instanceof WriteResult.Written done) {
        return new Acceptance(done.revision(), sent, nowMicros());
      }
    }
  }

  private static long nowMicros() {
    java.time.Instant now = java.time.Instant.now();
    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
  }

  /** The store stand-in, for fault injection. */
  public StoreServer store() {
    return standIns.store();
  }

  /** The store client with which contract changes are written. */
  public Store client() {
    return client;
  }

  /** All entry VMs, including those that have ended, sorted by name. */
  public List<FleetVm> vms() {
    synchronized (vms) {
      return vms.values().stream().sorted(Comparator.comparing(FleetVm::name)).toList();
    }
  }

  /** The entry VM that is currently the relay of {@code zone}. */
  public FleetVm relay(String zone) throws IOException {
    for (FleetVm vm : vms()) {
      if (vm.zone().equals(zone) && vm.isAlive() && isRelay(vm)) {
        return vm;
      }
    }
    throw new IOException("zone " + zone + " has no relay");
  }

  /** True if the VM is the relay of its zone. */
  public static boolean isRelay(FleetVm vm) throws IOException {
    return vm.meters().getOrDefault("sageladder_control_relaying", 0.0) > 0;
  }

  /** Adds a VM to the platform's list or removes it. */
  public void setListed(FleetVm vm, boolean isListed) {
    if (isListed) {
      standIns.relist(vm.name());
    } else {
      standIns.unlist(vm.name());
    }
  }

  /**
   * Reads all new events of the running VMs and records when each contract revision came into
   * force.
   */
  public void collectEvents(Predicate<FleetVm> filter) throws IOException {
    for (FleetVm vm : vms()) {
      if (vm.isAlive() && filter.test(vm)) {
        for (Event event : vm.newEvents()) {
          recordEvent(vm, event);
        }
      }
    }
  }

  private void recordEvent(FleetVm vm, Event event) {
    if (event.kind() != EventKind.CONTRACT_IN_FORCE) {
      return;
    }
    long previous = lastRevision.getOrDefault(vm.name(), 0L);
    if (event.revision() < previous) {
      reverts.add(vm.name() + " went from " + previous + " back to " + event.revision());
    }
    lastRevision.put(vm.name(), event.revision());
    inForceMicrosByVm
        .computeIfAbsent(vm.name(), name -> new TreeMap<>())
        .putIfAbsent(event.revision(), event.wallMicros());
  }

  /**
   * Describes each case in which an entry VM, possibly after a restart, put a lower revision in
   * force than before.
   */
  public List<String> reverts() {
    return List.copyOf(reverts);
  }

  /** The revision that was last recorded as in force at a VM. */
  public long lastRevision(FleetVm vm) {
    return lastRevision.getOrDefault(vm.name(), 0L);
  }

  /**
   * Waits until {@code revision} or a later one is in force at each running VM that matches the
   * filter.
   *
   * @return when it came into force at each VM, in microseconds since the Unix epoch
   */
  public Map<String, Long> awaitRevision(long revision, Duration timeout, Predicate<FleetVm> filter)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    Map<String, Long> times = new LinkedHashMap<>();
    while (true) {
      collectEvents(filter);
      List<String> missing = new ArrayList<>();
      for (FleetVm vm : vms()) {
        if (!vm.isAlive() || !filter.test(vm)) {
          continue;
        }
        Map.Entry<Long, Long> inForce =
            inForceMicrosByVm.getOrDefault(vm.name(), new TreeMap<>()).ceilingEntry(revision);
        if (inForce == null) {
          missing.add(vm.name());
        } else {
          times.put(vm.name(), inForce.getValue());
        }
      }
      if (missing.isEmpty()) {
        return times;
      }
      if (System.nanoTime() - deadline > 0) {
        throw new IOException("revision " + revision + " is not in force at " + missing);
      }
      Thread.sleep(100);
    }
  }

  /** Waits until the state of each running VM contains all running VMs. */
  public void awaitViews(Duration timeout) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (true) {
      String laggingVm = "";
      for (FleetVm vm : vms()) {
        if (vm.isAlive() && !seesAllVms(vm)) {
          laggingVm = vm.name();
          break;
        }
      }
      if (laggingVm.isEmpty()) {
        return;
      }
      if (System.nanoTime() - deadline > 0) {
        throw new IOException(laggingVm + " does not have all running VMs in its state");
      }
      Thread.sleep(200);
    }
  }

  private boolean seesAllVms(FleetVm vm) throws IOException {
    String state = vm.stateJson();
    for (FleetVm other : vms()) {
      if (other.isAlive() && !state.contains("\"vm\":\"" + other.name() + "\"")) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() {
    vms().forEach(vm -> vm.process().close());
    httpClient.close();
    client.close();
    standIns.close();
    folder.close();
  }
}
