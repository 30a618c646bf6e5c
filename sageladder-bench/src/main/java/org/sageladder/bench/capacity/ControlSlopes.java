package org.sageladder.bench.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.sageladder.assembly.EntryVm;
import org.sageladder.assembly.LocalSystem;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.Contract.ClientBlocks;
import org.sageladder.core.contract.Contract.Delays;
import org.sageladder.core.contract.Contract.Region;
import org.sageladder.core.store.Store;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.contract.ContractWriter;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.platform.store.HttpStore;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.tools.http.BlockingHttpClient;

/**
 * Measures the cost of the control plane for the entry VMs and the store without request traffic.
 *
 * <p>All entry VMs run in this process together with the store and the targets, so processor time
 * and memory include the stand-ins and are upper bounds. One contract change is accepted in each
 * interval, which is more than the 12,000 per day of the target size.
 */
final class ControlSlopes {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
  private static final Duration INTERVAL = Duration.ofSeconds(6);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int[] VMS_PER_ZONE = {1, 2, 3, 4};
  private static final int[] ZONES = {2, 4, 6, 8};
  private static final int FIXED_ZONES = 4;
  private static final int FIXED_VMS_PER_ZONE = 2;

  private ControlSlopes() {}

  /** Cost of one fleet during one interval; bytes and calls are per second. */
  private record Cost(
      double coreFraction,
      double heapMegabytes,
      double bytesPerSecond,
      double storeCallsPerSecond) {}

  static List<SlopeResult> measure() throws Exception {
    List<SlopeResult> results = new ArrayList<>();
    List<Cost> costsByVmCount = new ArrayList<>();
    for (int vmsPerZone : VMS_PER_ZONE) {
      costsByVmCount.add(measureCost(FIXED_ZONES, vmsPerZone));
    }
    double[] vmCounts = new double[VMS_PER_ZONE.length];
    for (int i = 0; i < vmCounts.length; i++) {
      vmCounts[i] = FIXED_ZONES * VMS_PER_ZONE[i];
    }
    results.add(
        result(
            "control: processor time",
            "% of a core",
            vmCounts,
            costsByVmCount,
            c -> 100 * c.coreFraction()));
    results.add(result("control: heap", "MB", vmCounts, costsByVmCount, Cost::heapMegabytes));
    results.add(
        result(
            "control: bytes sent and received",
            "B/s",
            vmCounts,
            costsByVmCount,
            Cost::bytesPerSecond));
    results.add(
        result(
            "control: calls to the store",
            "calls/s",
            vmCounts,
            costsByVmCount,
            Cost::storeCallsPerSecond));
    List<Cost> costsByZoneCount = new ArrayList<>();
    double[] zoneCounts = new double[ZONES.length];
    for (int i = 0; i < zoneCounts.length; i++) {
      zoneCounts[i] = ZONES[i];
      costsByZoneCount.add(measureCost(ZONES[i], FIXED_VMS_PER_ZONE));
    }
    results.add(
        new SlopeResult(
            "control: calls to the store by zones, " + FIXED_VMS_PER_ZONE + " entry VMs in each",
            "calls/s",
            "zone",
            fit(zoneCounts, costsByZoneCount, Cost::storeCallsPerSecond),
            TargetSize.ZONES,
            "entry.control"));
    results.add(
        new SlopeResult(
            "control: bytes of each entry VM by zones",
            "B/s",
            "zone",
            fit(zoneCounts, costsByZoneCount, c -> c.bytesPerSecond(), FIXED_VMS_PER_ZONE),
            TargetSize.ZONES,
            "entry.control"));
    return results;
  }

  private static SlopeResult result(
      String name, String unit, double[] vmCounts, List<Cost> costs, ToDoubleFunction<Cost> value) {
    return new SlopeResult(name, unit, "entry VM", fit(vmCounts, costs, value), 1, "entry.control");
  }

  private static Slope fit(double[] sizes, List<Cost> costs, ToDoubleFunction<Cost> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < sizes.length; i++) {
      points.add(new Slope.Point(sizes[i], value.applyAsDouble(costs.get(i))));
    }
    return Slope.fit(points);
  }

  /**
   * As {@link #fit(double[], List, ToDoubleFunction)}, with values divided by the number of entry
   * VMs.
   */
  private static Slope fit(
      double[] zones, List<Cost> costs, ToDoubleFunction<Cost> value, int vmsPerZone) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      points.add(
          new Slope.Point(zones[i], value.applyAsDouble(costs.get(i)) / (zones[i] * vmsPerZone)));
    }
    return Slope.fit(points);
  }

  /** A contract with the number of targets per entry VM of the target size. */
  static Contract fleetContract(int zones, int vmsPerZone) {
    int targets =
        (int) Math.ceil(zones * vmsPerZone * (double) TargetSize.TARGETS / TargetSize.ENTRY_VMS);
    return contract(zones, targets);
  }

  private static Cost measureCost(int zones, int vmsPerZone) throws Exception {
    Contract contract = fleetContract(zones, vmsPerZone);
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, vmsPerZone);
        BlockingHttpClient httpClient = BlockingHttpClient.withTimeout(TIMEOUT);
        Store client = HttpStore.connect(store.address(), TIMEOUT)) {
      system.awaitReady();
      Thread.sleep(SETTLE_TIME.toMillis());
      double bytesBefore = controlBytes(system, httpClient);
      long callsBefore = storeCalls(store);
      long cpuBefore = cpuNanos();
      long startNanos = System.nanoTime();
      changeContract(client, contract);
      Thread.sleep(INTERVAL.toMillis());
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      double coreFraction = (cpuNanos() - cpuBefore) / 1e9 / seconds;
      double callsPerSecond = (storeCalls(store) - callsBefore) / seconds;
      double bytesPerSecond = (controlBytes(system, httpClient) - bytesBefore) / seconds;
      Runtime runtime = Runtime.getRuntime();
      for (int i = 0; i < 4; i++) {
        System.gc();
      }
      double heapMegabytes = (runtime.totalMemory() - runtime.freeMemory()) / 1e6;
      return new Cost(coreFraction, heapMegabytes, bytesPerSecond, callsPerSecond);
    }
  }

  private static Contract contract(int zones, int targets) {
    List<Region> regions = new ArrayList<>();
    List<ClientBlocks> blocks = new ArrayList<>();
    for (int r = 0; r < zones / 2; r++) {
      String name = "region-" + r;
      regions.add(new Region(name, List.of(name + "-1", name + "-2")));
      blocks.add(new ClientBlocks(r * 1_000, r * 1_000 + 999, name));
    }
    return new Contract(
        TargetSize.CUSTOMER,
        0,
        regions,
        new Delays(1, 30, 5),
        blocks,
        List.of(),
        List.of(TargetSize.service(TargetSize.SERVICE, targets)));
  }

  private static void changeContract(Store client, Contract contract) throws Exception {
    ContractWriter writer = ContractWriter.of(client, TimeSource.system(), "bench");
    StoredContract current = writer.read(contract.customer());
    if (current == null) {
      throw new IOException("the store has no contract of the customer");
    }
    Contract changed =
        new Contract(
            contract.customer(),
            0,
            contract.regions(),
            new Delays(1, 31, 5),
            contract.clientBlocks(),
            contract.linkLimits(),
            contract.services());
    Measure.sink = writer.apply(changed, current.contract().revision());
  }

  static long storeCalls(StoreServer store) {
    return store.counts().values().stream().mapToLong(Long::longValue).sum();
  }

  private static double controlBytes(LocalSystem system, BlockingHttpClient httpClient)
      throws IOException {
    double sum = 0;
    for (EntryVm vm : system.entries().values()) {
      sum += controlBytes(vm, httpClient);
    }
    return sum;
  }

  /** Bytes of control messages of the inner protocol that one entry VM has sent and received. */
  static double controlBytes(EntryVm vm, BlockingHttpClient httpClient) throws IOException {
    double sum = 0;
    URI metrics = URI.create("http://127.0.0.1:" + vm.operatorsPort() + "/v1/metrics");
    for (String line : httpClient.get(metrics).text().split("\n")) {
      if (line.startsWith("sageladder_control_bytes_")) {
        sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
      }
    }
    return sum;
  }

  /**
   * Processor time of the Java threads; JIT compiler and garbage collector threads, which are not
   * included, would dominate it.
   */
  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return LongStream.of(threads.getAllThreadIds())
        .map(threads::getThreadCpuTime)
        .filter(nanos -> nanos > 0)
        .sum();
  }
}
