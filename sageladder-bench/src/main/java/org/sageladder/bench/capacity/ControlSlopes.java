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
 * What control costs each entry VM and the store while nothing but control happens.
 *
 * <p>All entry VMs run in this process beside the store and the targets, so processor time and
 * memory are upper bounds: they contain the stand-ins' part. One change of the contract is accepted
 * in each interval, more often than the 12,000 a day of the target size.
 */
final class ControlSlopes {
  private static final Duration SETTLE = Duration.ofSeconds(4);
  private static final Duration INTERVAL = Duration.ofSeconds(6);
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int[] PER_ZONE = {1, 2, 3, 4};
  private static final int[] ZONES = {2, 4, 6, 8};
  private static final int FIXED_ZONES = 4;
  private static final int FIXED_PER_ZONE = 2;

  private ControlSlopes() {}

  /** What one fleet cost in one interval, each second. */
  private record Cost(double coreFraction, double heapMegabytes, double bytes, double storeCalls) {}

  static List<Line> measure() throws Exception {
    List<Line> lines = new ArrayList<>();
    List<Cost> byNodes = new ArrayList<>();
    for (int perZone : PER_ZONE) {
      byNodes.add(cost(FIXED_ZONES, perZone));
    }
    double[] nodes = new double[PER_ZONE.length];
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = FIXED_ZONES * PER_ZONE[i];
    }
    lines.add(
        line(
            "control: processor time", "% of a core", nodes, byNodes, c -> 100 * c.coreFraction()));
    lines.add(line("control: heap", "MB", nodes, byNodes, Cost::heapMegabytes));
    lines.add(line("control: bytes sent and received", "B/s", nodes, byNodes, Cost::bytes));
    lines.add(line("control: calls to the store", "calls/s", nodes, byNodes, Cost::storeCalls));
    List<Cost> byZones = new ArrayList<>();
    double[] zones = new double[ZONES.length];
    for (int i = 0; i < zones.length; i++) {
      zones[i] = ZONES[i];
      byZones.add(cost(ZONES[i], FIXED_PER_ZONE));
    }
    lines.add(
        new Line(
            "control: calls to the store by zones, " + FIXED_PER_ZONE + " entry VMs in each",
            "calls/s",
            "zone",
            fit(zones, byZones, Cost::storeCalls),
            TargetSize.ZONES,
            "entry.control"));
    lines.add(
        new Line(
            "control: bytes of each entry VM by zones",
            "B/s",
            "zone",
            fit(zones, byZones, c -> c.bytes(), FIXED_PER_ZONE),
            TargetSize.ZONES,
            "entry.control"));
    return lines;
  }

  private static Line line(
      String name, String unit, double[] nodes, List<Cost> costs, ToDoubleFunction<Cost> value) {
    return new Line(name, unit, "entry VM", fit(nodes, costs, value), 1, "entry.control");
  }

  private static Slope fit(double[] sizes, List<Cost> costs, ToDoubleFunction<Cost> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < sizes.length; i++) {
      points.add(new Slope.Point(sizes[i], value.applyAsDouble(costs.get(i))));
    }
    return Slope.fit(points);
  }

  /** As {@link #fit(double[], List, ToDoubleFunction)}, for the share of one entry VM. */
  private static Slope fit(
      double[] zones, List<Cost> costs, ToDoubleFunction<Cost> value, int perZone) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < zones.length; i++) {
      points.add(
          new Slope.Point(zones[i], value.applyAsDouble(costs.get(i)) / (zones[i] * perZone)));
    }
    return Slope.fit(points);
  }

  /** A contract with as many targets for each entry VM as at the target size. */
  static Contract fleetContract(int zones, int perZone) {
    int targets = (int) Math.ceil(zones * perZone * (double) TargetSize.SITES / TargetSize.NODES);
    return contract(zones, targets);
  }

  private static Cost cost(int zones, int perZone) throws Exception {
    Contract contract = fleetContract(zones, perZone);
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, perZone);
        BlockingHttpClient caller = BlockingHttpClient.withTimeout(TIMEOUT);
        Store client = HttpStore.connect(store.address(), TIMEOUT)) {
      system.awaitReady();
      Thread.sleep(SETTLE.toMillis());
      double bytes = controlBytes(system, caller);
      long calls = storeCalls(store);
      long cpu = cpuNanos();
      long start = System.nanoTime();
      change(client, contract);
      Thread.sleep(INTERVAL.toMillis());
      double seconds = (System.nanoTime() - start) / 1e9;
      double core = (cpuNanos() - cpu) / 1e9 / seconds;
      double callsEach = (storeCalls(store) - calls) / seconds;
      double bytesEach = (controlBytes(system, caller) - bytes) / seconds;
      Runtime runtime = Runtime.getRuntime();
      for (int i = 0; i < 4; i++) {
        System.gc();
      }
      double heap = (runtime.totalMemory() - runtime.freeMemory()) / 1e6;
      return new Cost(core, heap, bytesEach, callsEach);
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

  private static void change(Store client, Contract contract) throws Exception {
    ContractWriter writer = ContractWriter.of(client, TimeSource.system(), "bench");
    StoredContract standing = writer.read(contract.customer());
    if (standing == null) {
      throw new IOException("the store has lost the contract");
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
    Measure.sink = writer.apply(changed, standing.contract().revision());
  }

  static long storeCalls(StoreServer store) {
    return store.counts().values().stream().mapToLong(Long::longValue).sum();
  }

  private static double controlBytes(LocalSystem system, BlockingHttpClient caller)
      throws IOException {
    double sum = 0;
    for (EntryVm vm : system.entries().values()) {
      sum += controlBytes(vm, caller);
    }
    return sum;
  }

  /** Bytes of the inner protocol's control part that one entry VM sent and received. */
  static double controlBytes(EntryVm vm, BlockingHttpClient caller) throws IOException {
    double sum = 0;
    URI metrics = URI.create("http://127.0.0.1:" + vm.operatorsPort() + "/v1/metrics");
    for (String line : caller.get(metrics).text().split("\n")) {
      if (line.startsWith("sageladder_control_bytes_")) {
        sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
      }
    }
    return sum;
  }

  /** Of this process's own threads; the compiler's and the collector's would drown the rest. */
  private static long cpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return LongStream.of(threads.getAllThreadIds())
        .map(threads::getThreadCpuTime)
        .filter(nanos -> nanos > 0)
        .sum();
  }
}
