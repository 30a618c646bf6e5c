package org.sageladder.bench.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * A whole system on loopback: each entry VM is a process of its own, the store and the targets are
 * in this one, where their faults can be set and their counts read.
 *
 * <pre>{@code
 * try (ProcessCluster cluster = ProcessCluster.start(ClusterPlan.of(contract), directory)) {
 *   cluster.awaitServing(Duration.ofSeconds(20));
 *   cluster.entries().get(0).kill();
 * }
 * }</pre>
 */
public final class ProcessCluster implements AutoCloseable {
  private static final long POLL_MILLIS = 20;

  private final ClusterPlan plan;
  private final Path directory;
  private final StoreServer store;
  private final List<TargetServer> targets = new ArrayList<>();
  private final Map<String, String> serviceOfTarget = new TreeMap<>();
  private final List<EntryProcess> entries = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();

  private ProcessCluster(ClusterPlan plan, Path directory) throws IOException {
    this.plan = plan;
    this.directory = directory;
    this.store = StoreServer.start("127.0.0.1", 0);
  }

  /** Starts everything and returns once each entry VM has opened its ports. */
  public static ProcessCluster start(ClusterPlan plan, Path directory) throws IOException {
    ProcessCluster cluster = new ProcessCluster(plan, directory);
    try {
      cluster.putContract();
      cluster.startTargets();
      cluster.startEntries();
      return cluster;
    } catch (IOException | RuntimeException e) {
      cluster.close();
      throw e;
    }
  }

  private void putContract() {
    Contract contract = plan.contract();
    byte[] value = new StoredContract("initial", "cluster", contract).toBytes();
    store.state().compareAndSet(StoredContract.keyOf(contract.customer()), 0, value, null);
  }

  private void startTargets() throws IOException {
    for (String zone : plan.zones()) {
      for (Contract.Service service : plan.contract().services()) {
        for (int i = 1; i <= plan.targetsPerZone(); i++) {
          startTarget(zone, service, zone + "-" + service.name() + "-" + i);
        }
      }
    }
  }

  private void startTarget(String zone, Contract.Service service, String id) throws IOException {
    TargetOptions usual =
        TargetOptions.create(id)
            .slots(service.slotsPerTarget())
            .queue(service.slotsPerTarget())
            .serviceTime(ServiceTime.exponential(service.meanServiceMillis()))
            .seed(id.hashCode());
    TargetServer target = TargetServer.start(plan.targets().apply(usual));
    targets.add(target);
    serviceOfTarget.put(id, service.name());
    store.putVm(
        new ListedVm(
            VmRole.TARGET,
            id,
            plan.contract().customer(),
            service.name(),
            zone,
            "127.0.0.1",
            target.port(),
            0,
            target.incarnation(),
            false));
  }

  private void startEntries() throws IOException {
    List<EntryProcess.Starting> starting = new ArrayList<>();
    for (String zone : plan.zones()) {
      for (int i = 1; i <= plan.entriesPerZone(); i++) {
        starting.add(launch("entry-" + zone + "-" + i, zone));
      }
    }
    for (EntryProcess.Starting one : starting) {
      list(one.ready(), entries.size() + 1);
    }
  }

  private EntryProcess.Starting launch(String vm, String zone) throws IOException {
    Path settings = directory.resolve(vm + ".yaml");
    Files.writeString(settings, settings(vm, zone));
    return EntryProcess.start(
        vm, zone, settings, plan.heapMegabytes(), directory.resolve(vm + ".log"));
  }

  private String settings(String vm, String zone) {
    String seeds =
        entries.isEmpty() || entries.get(0).innerPort() == 0
            ? ""
            : "seeds: [\"127.0.0.1:" + entries.get(0).innerPort() + "\"]\n";
    return "vm: "
        + vm
        + "\ncustomer: "
        + plan.contract().customer()
        + "\nzone: "
        + zone
        + "\nhost: 127.0.0.1\nports: {callers: 0, inner: 0, operators: 0}\nstore: {uri: \""
        + store.address()
        + "\", timeout: 1s}\nvmList: {uri: \""
        + store.address()
        + "\", every: 250ms}\n"
        + seeds
        + plan.entrySettings();
  }

  private EntryProcess list(EntryProcess entry, long incarnation) {
    entries.add(entry);
    store.putVm(listed(entry, incarnation, false));
    return entry;
  }

  private ListedVm listed(EntryProcess entry, long incarnation, boolean leaving) {
    return new ListedVm(
        VmRole.ENTRY,
        entry.vm(),
        plan.contract().customer(),
        "",
        entry.zone(),
        "127.0.0.1",
        entry.callersPort(),
        entry.innerPort(),
        incarnation,
        leaving);
  }

  /** Starts one more entry VM in {@code zone} and adds it to the platform's list. */
  public EntryProcess addEntry(String vm, String zone) throws IOException {
    return list(launch(vm, zone).ready(), entries.size() + 1);
  }

  /** Takes an entry VM off the platform's list, as the platform does some time after its end. */
  public void unlist(EntryProcess entry) {
    store.removeVm(entry.vm());
  }

  /** The store and the list of VMs. */
  public StoreServer store() {
    return store;
  }

  /** All targets. */
  public List<TargetServer> targets() {
    return List.copyOf(targets);
  }

  /** Targets that run {@code service}. */
  public List<TargetServer> targetsOf(String service) {
    return targets.stream()
        .filter(target -> service.equals(serviceOfTarget.get(target.options().id())))
        .toList();
  }

  /** All entry VMs ever started, ended ones among them. */
  public List<EntryProcess> entries() {
    return List.copyOf(entries);
  }

  /** The entry VMs whose processes have not ended, in the order they were started. */
  public List<EntryProcess> running() {
    return entries.stream().filter(EntryProcess::isAlive).toList();
  }

  /** Addresses for callers of the entry VMs that run. */
  public List<String> callersAddresses() {
    return running().stream().map(EntryProcess::callersAddress).toList();
  }

  /** How often each request was started, over all targets. */
  public Map<String, Integer> executions() {
    Map<String, Integer> sum = new TreeMap<>();
    for (TargetServer target : targets) {
      for (String key : target.executions().keys()) {
        sum.merge(key, target.executions().count(key), Integer::sum);
      }
    }
    return sum;
  }

  /**
   * Waits until each running entry VM answers a look-up of each service.
   *
   * @throws IOException where that is not so within {@code limit}
   */
  public void awaitServing(Duration limit) throws IOException, InterruptedException {
    long giveUp = System.nanoTime() + limit.toNanos();
    for (EntryProcess entry : entries) {
      while (entry.isAlive() && !serves(entry)) {
        if (System.nanoTime() > giveUp) {
          throw new IOException(entry.vm() + " does not serve after " + limit);
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
  }

  private boolean serves(EntryProcess entry) throws InterruptedException {
    for (Contract.Service service : plan.contract().services()) {
      String query =
          "/v1/look-up?block=0&contract="
              + plan.contract().customer()
              + "&service="
              + service.name();
      URI uri = URI.create("http://" + entry.callersAddress() + query);
      HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(2)).build();
      try {
        if (http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
          return false;
        }
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::close);
    targets.forEach(TargetServer::close);
    store.close();
  }
}
