package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmRole;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * A customer with real entry daemons on loopback; store, list and targets are stand-ins in this
 * process, so that executions can be counted where they happen.
 *
 * <p>Three services: {@code bids} must not repeat, {@code listings} may, {@code archive} is
 * background work. Two zones of one region.
 */
public final class TestBed implements AutoCloseable {
  /** The customer of all requests. */
  public static final String CUSTOMER = "kalnins-dauge";

  private static final int HEAP_MEGABYTES = 96;

  private final StoreServer store;
  private final Path folder;
  private final List<EntryProcess> entries = new CopyOnWriteArrayList<>();
  private final List<TargetServer> targets = new ArrayList<>();
  private final List<ListedVm> targetLines = new ArrayList<>();

  private TestBed(StoreServer store, Path folder) {
    this.store = store;
    this.folder = folder;
  }

  /** A contract, a store and no VMs yet. */
  public static TestBed start(double serviceMillis)
      throws IOException, StoreException, SettingsException {
    TestBed bed =
        new TestBed(StoreServer.start("127.0.0.1", 0), Files.createTempDirectory("bench"));
    // A bench that exits or is ended must not leave its daemons behind.
    Runtime.getRuntime().addShutdownHook(new Thread(bed::killEntries, "kill-entries"));
    Contract contract = ContractYaml.parse("bench", contractText(serviceMillis));
    try (Store client = HttpStore.connect(bed.store.address(), Duration.ofSeconds(5))) {
      client.compareAndSet(
          StoredContract.keyOf(CUSTOMER),
          0,
          new StoredContract("bench-1", "bench", contract).toBytes(),
          null);
    }
    return bed;
  }

  private static String contractText(double serviceMillis) {
    StringBuilder text = new StringBuilder();
    text.append("customer: ").append(CUSTOMER).append('\n');
    text.append("regions: [{name: riga, zones: [riga-1, riga-2]}]\n");
    text.append("delays: {betweenZones: 1ms, betweenRegions: 20ms, toClients: 1ms}\n");
    text.append("clientBlocks: [{first: 0, last: 999, region: riga}]\n");
    text.append("linkLimits: []\n");
    text.append("services:\n");
    text.append(service("bids", "critical", false, serviceMillis));
    text.append(service("listings", "interactive", true, serviceMillis));
    text.append(service("archive", "background", true, serviceMillis));
    return text.toString();
  }

  private static String service(
      String name, String requestClass, boolean repeatable, double millis) {
    boolean background = requestClass.equals("background");
    return String.join(
        "\n",
        "  - name: " + name,
        "    class: " + requestClass,
        "    repeatable: " + repeatable,
        "    targets: 12",
        "    slotsPerTarget: 3",
        "    connectionsPerTarget: 390",
        "    meanService: " + Math.max(1, Math.round(millis)) + "ms",
        "    queuePerTarget: " + (background ? 30 : 20),
        "    queueWait: " + (background ? "30s" : "2s"),
        "    longestDeadline: " + (background ? "10m" : "30s"),
        "    drainLimit: 20s",
        "    retryFraction: " + (repeatable ? "0.1" : "0"),
        "    regionShiftCap: {gainFraction: 1.0, window: 1s}",
        "    targetShiftCap: {gainFraction: 1.0, window: 1s}",
        "");
  }

  /** Adds targets of {@code service} spread over the zones, and lists them. */
  public void addTargets(String service, int count, ServiceTime time, int slots)
      throws IOException {
    for (int i = 0; i < count; i++) {
      String id = service + "-" + i;
      TargetServer target =
          TargetServer.start(
              TargetOptions.create(id)
                  .slots(slots)
                  .queue(slots)
                  .serviceTime(time)
                  .seed(i)
                  .answerBytes(256));
      targets.add(target);
      ListedVm line =
          new ListedVm(
              VmRole.TARGET,
              id,
              CUSTOMER,
              service,
              zone(i),
              "127.0.0.1",
              target.port(),
              0,
              1,
              false);
      targetLines.add(line);
      store.putVm(line);
    }
  }

  /** Starts entry daemons spread over the zones, and lists them. */
  public void addEntries(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      EntryProcess entry =
          EntryProcess.start(
              folder, "entry-" + i, zone(i), CUSTOMER, store.address().toString(), HEAP_MEGABYTES);
      entries.add(entry);
      list(entry, false);
    }
  }

  private static String zone(int number) {
    return number % 2 == 0 ? "riga-1" : "riga-2";
  }

  /** Puts an entry VM on the platform's list, as live or leaving. */
  public void list(EntryProcess entry, boolean leaving) {
    store.putVm(
        new ListedVm(
            VmRole.ENTRY,
            entry.vm(),
            CUSTOMER,
            "",
            entry.zone(),
            "127.0.0.1",
            entry.callersPort(),
            entry.innerPort(),
            0,
            leaving));
  }

  /** Marks a target on the list as leaving, or as returned with a new incarnation. */
  public void listTarget(int number, long incarnation, boolean leaving) {
    ListedVm line = targetLines.get(number);
    store.putVm(
        new ListedVm(
            VmRole.TARGET,
            line.id(),
            CUSTOMER,
            line.service(),
            line.zone(),
            line.host(),
            line.port(),
            0,
            incarnation,
            leaving));
  }

  /** The store stand-in. */
  public StoreServer store() {
    return store;
  }

  /** The entry daemons. */
  public List<EntryProcess> entries() {
    return entries;
  }

  /** The target stand-ins, in the order they were added. */
  public List<TargetServer> targets() {
    return targets;
  }

  /** Where settings and logs are. */
  public Path folder() {
    return folder;
  }

  /** The last lines of all logs, for a run that failed. */
  public String logs() throws IOException {
    StringBuilder text = new StringBuilder();
    for (EntryProcess entry : entries) {
      Path log = folder.resolve(entry.vm() + ".log");
      if (Files.exists(log)) {
        List<String> lines = Files.readAllLines(log, StandardCharsets.UTF_8);
        lines
            .subList(Math.max(0, lines.size() - 5), lines.size())
            .forEach(line -> text.append(line).append('\n'));
      }
    }
    return text.toString();
  }

  private void killEntries() {
    for (EntryProcess entry : entries) {
      try {
        entry.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    killEntries();
    targets.forEach(TargetServer::close);
    store.close();
  }
}
