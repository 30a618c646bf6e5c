package org.sageladder.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * A complete system on the loopback interface. Each entry VM is a separate process; the store and
 * the targets run in this process, so that faults can be injected and counters read.
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
  private final StandIns standIns;
  private final List<EntryProcess> entries = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private long lastIncarnation;

  private ProcessCluster(ClusterPlan plan, Path directory) throws IOException {
    this.plan = plan;
    this.directory = directory;
    this.standIns = StandIns.start(plan.contract().customer());
  }

  /**
   * Starts the store, the targets and the entry VMs and waits until each entry VM has opened its
   * ports.
   */
  public static ProcessCluster start(ClusterPlan plan, Path directory) throws IOException {
    ProcessCluster cluster = new ProcessCluster(plan, directory);
    try {
      cluster.standIns.putContract(plan.contract());
      cluster.startTargets();
      cluster.startEntries();
      return cluster;
    } catch (IOException | RuntimeException e) {
      cluster.close();
      throw e;
    }
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
    TargetOptions options =
        TargetOptions.create(id)
            .slots(service.slotsPerTarget())
            .queue(service.slotsPerTarget())
            .serviceTime(ServiceTime.exponential(service.meanServiceMillis()))
            .seed(id.hashCode());
    standIns.startTarget(plan.targetCustomizer().apply(options), service.name(), zone);
  }

  private void startEntries() throws IOException {
    List<StartingEntry> startingEntries = new ArrayList<>();
    try {
      for (String zone : plan.zones()) {
        for (int i = 1; i <= plan.entriesPerZone(); i++) {
          startingEntries.add(launch("entry-" + zone + "-" + i, zone));
        }
      }
    } finally {
      startingEntries.forEach(startingEntry -> entries.add(startingEntry.entry()));
    }
    for (StartingEntry startingEntry : startingEntries) {
      awaitReadyAndList(startingEntry);
    }
  }

  /** A started process that may not be listening yet. */
  private record StartingEntry(EntryProcess entry, long incarnation) {}

  private StartingEntry launch(String vm, String zone) throws IOException {
    lastIncarnation++;
    EntryOptions options =
        EntryOptions.of(vm, plan.contract().customer(), zone, standIns.store().address())
            .listInterval("250ms")
            .heapMegabytes(plan.heapMegabytes())
            .settings("incarnation: {source: fixed, number: " + lastIncarnation + "}\n")
            .settings(seedSettings())
            .settings(plan.entrySettings());
    return new StartingEntry(EntryProcess.launch(options, directory), lastIncarnation);
  }

  private String seedSettings() {
    if (entries.isEmpty()) {
      return "";
    }
    return "seeds: ['" + StandIns.HOST + ":" + entries.get(0).innerPort() + "']\n";
  }

  private void awaitReadyAndList(StartingEntry starting) throws IOException {
    starting.entry().awaitReady();
    standIns.listEntry(starting.entry(), starting.incarnation(), false);
  }

  /** Starts one more entry VM in {@code zone} and adds it to the platform's list. */
  public EntryProcess addEntry(String vm, String zone) throws IOException {
    StartingEntry starting = launch(vm, zone);
    entries.add(starting.entry());
    awaitReadyAndList(starting);
    return starting.entry();
  }

  /**
   * Removes an entry VM from the platform's list, as the platform does some time after the VM has
   * ended.
   */
  public void unlist(EntryProcess entry) {
    standIns.unlist(entry.vm());
  }

  /** The store and the list of VMs. */
  public StoreServer store() {
    return standIns.store();
  }

  /** All targets. */
  public List<TargetServer> targets() {
    return standIns.targets();
  }

  /** Targets that run {@code service}. */
  public List<TargetServer> targetsOf(String service) {
    return standIns.targetsOf(service);
  }

  /** All entry VMs ever started, including those that have ended. */
  public List<EntryProcess> entries() {
    return List.copyOf(entries);
  }

  /** The entry VMs whose processes have not ended, in the order they were started. */
  public List<EntryProcess> runningEntries() {
    return entries.stream().filter(EntryProcess::isAlive).toList();
  }

  /** Addresses that callers use, of the running entry VMs. */
  public List<String> callersAddresses() {
    return runningEntries().stream().map(EntryProcess::callersAddress).toList();
  }

  /** Number of executions of each request, summed over all targets. */
  public Map<String, Integer> executionCounts() {
    Map<String, Integer> counts = new TreeMap<>();
    for (TargetServer target : targets()) {
      for (String key : target.executions().keys()) {
        counts.merge(key, target.executions().count(key), Integer::sum);
      }
    }
    return counts;
  }

  /**
   * Waits until each running entry VM answers look-ups of every service.
   *
   * @throws IOException if this takes longer than {@code timeout}
   */
  public void awaitServing(Duration timeout) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    for (EntryProcess entry : entries) {
      while (entry.isAlive() && !servesAllServices(entry)) {
        if (System.nanoTime() > deadline) {
          throw new IOException(entry.vm() + " does not answer look-ups after " + timeout);
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
  }

  private boolean servesAllServices(EntryProcess entry) throws InterruptedException {
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
    standIns.close();
  }
}
