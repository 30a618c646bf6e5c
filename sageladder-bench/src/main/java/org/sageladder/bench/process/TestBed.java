package org.sageladder.bench.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.sageladder.core.contract.Contract;
import org.sageladder.platform.contract.ContractYaml;
import org.sageladder.platform.settings.SettingsException;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.standin.target.ServiceTime;
import org.sageladder.standin.target.TargetOptions;
import org.sageladder.standin.target.TargetServer;

/**
 * A customer with real entry daemons on the loopback interface. The store, the VM list and the
 * targets are stand-ins in this process, so that executions can be counted at the targets.
 *
 * <p>It has two zones in one region and three services: {@code bids} is not repeatable, {@code
 * listings} is, and {@code archive} is background work.
 */
public final class TestBed implements AutoCloseable {
  /** The customer of all requests. */
  public static final String CUSTOMER = "kalnins-dauge";

  private static final int HEAP_MEGABYTES = 96;

  private final StandIns standIns;
  private final RunFolder folder;
  private final List<EntryProcess> entries = new CopyOnWriteArrayList<>();

  private TestBed(StandIns standIns, RunFolder folder) {
    this.standIns = standIns;
    this.folder = folder;
  }

  /** Starts the store with the contract and without any VMs. */
  public static TestBed start(double serviceMillis) throws IOException, SettingsException {
    Contract contract = ContractYaml.parse("bench", contractText(serviceMillis));
    TestBed bed = new TestBed(StandIns.start(CUSTOMER), RunFolder.create("bench"));
    bed.standIns.putContract(contract);
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

  /**
   * Starts targets of {@code service} alternately in the two zones and adds them to the VM list.
   */
  public void addTargets(String service, int count, ServiceTime time, int slots)
      throws IOException {
    for (int i = 0; i < count; i++) {
      String id = service + "-" + i;
      standIns.startTarget(
          TargetOptions.create(id)
              .slots(slots)
              .queue(slots)
              .serviceTime(time)
              .seed(i)
              .answerBytes(256),
          service,
          zone(i));
    }
  }

  /** Starts entry daemons alternately in the two zones and adds them to the VM list. */
  public void addEntries(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      EntryOptions options =
          EntryOptions.of("entry-" + i, CUSTOMER, zone(i), store().address())
              .heapMegabytes(HEAP_MEGABYTES)
              .settings("callerLimits: {workers: 2}\n");
      EntryProcess entry = EntryProcess.start(options, folder.path());
      entries.add(entry);
      listEntry(entry, false);
    }
  }

  private static String zone(int number) {
    return number % 2 == 0 ? "riga-1" : "riga-2";
  }

  /** Adds an entry VM to the platform's list, as live or draining. */
  public void listEntry(EntryProcess entry, boolean isDraining) {
    standIns.listEntry(entry, 0, isDraining);
  }

  /** Updates a listed target: marks it as draining, or as live with a new incarnation. */
  public void listTarget(int number, long incarnation, boolean isDraining) {
    standIns.listTarget(targets().get(number).options().id(), incarnation, isDraining);
  }

  /** The store stand-in. */
  public StoreServer store() {
    return standIns.store();
  }

  /** The entry daemons. */
  public List<EntryProcess> entries() {
    return entries;
  }

  /** The target stand-ins, in the order they were added. */
  public List<TargetServer> targets() {
    return standIns.targets();
  }

  /** Directory of the settings and logs. */
  public Path folder() {
    return folder.path();
  }

  /** The last five lines of each log, to diagnose a failed run. */
  public String logTails() throws IOException {
    StringBuilder text = new StringBuilder();
    for (EntryProcess entry : entries) {
      if (Files.exists(entry.log())) {
        List<String> lines = Files.readAllLines(entry.log(), StandardCharsets.UTF_8);
        lines
            .subList(Math.max(0, lines.size() - 5), lines.size())
            .forEach(line -> text.append(line).append('\n'));
      }
    }
    return text.toString();
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::close);
    standIns.close();
    folder.close();
  }
}
