package org.sageladder.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.sageladder.assembly.EntryVm;
import org.sageladder.assembly.LocalSystem;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.store.StoreServer;
import org.sageladder.tools.http.BlockingHttpClient;

/**
 * Measures the cost of routine events: the loss of an entry VM, the start of one, and the loss of a
 * zone.
 *
 * <p>Each event is caused in fleets of several sizes. Its cost is the traffic during a period after
 * the event minus the traffic during a period of the same length before it.
 */
final class FailureCosts {
  private static final Duration SETTLE_TIME = Duration.ofSeconds(4);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(5);
  // Longer than the observation time, because the HTTP library closes keep-alive connections that
  // were idle for the length of the timeout.
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long MAX_TAKEOVER_NANOS = Duration.ofSeconds(20).toNanos();
  private static final int[] ZONES = {2, 4, 6, 8};
  private static final int VMS_PER_ZONE = 2;
  private static final JsonMapper JSON = new JsonMapper();

  private final StoreServer store;
  private final LocalSystem system;
  private final BlockingHttpClient httpClient;
  private final Contract contract;

  private FailureCosts(
      StoreServer store, LocalSystem system, BlockingHttpClient httpClient, Contract contract) {
    this.store = store;
    this.system = system;
    this.httpClient = httpClient;
    this.contract = contract;
  }

  /**
   * Costs of the events in one fleet.
   *
   * @param vmLossBytes additional bytes per remaining entry VM after the loss of one
   * @param vmLossStoreCalls additional store calls by all entry VMs after the loss of one
   * @param takeoverMillis time until other entry VMs hold the targets of the lost one
   * @param vmStartBytes bytes of a new entry VM during the observation time after its start
   * @param vmStartStoreCalls additional store calls by all entry VMs after the start of one
   * @param zoneLossBytes additional bytes per remaining entry VM after the loss of a zone
   */
  private record Costs(
      double vmLossBytes,
      double vmLossStoreCalls,
      double takeoverMillis,
      double vmStartBytes,
      double vmStartStoreCalls,
      double zoneLossBytes) {}

  /** Bytes of each entry VM and calls to the store so far. */
  private record Traffic(Map<String, Double> bytesByVm, double storeCalls) {
    /** Mean growth over the entry VMs that are present in both. */
    double bytesSince(Traffic earlier) {
      return bytesByVm.entrySet().stream()
          .filter(entry -> earlier.bytesByVm.containsKey(entry.getKey()))
          .mapToDouble(entry -> entry.getValue() - earlier.bytesByVm.get(entry.getKey()))
          .average()
          .orElse(0);
    }
  }

  static List<SlopeResult> measure() throws Exception {
    List<Costs> costs = new ArrayList<>();
    for (int zones : ZONES) {
      costs.add(measureFleetOf(zones));
    }
    List<SlopeResult> results = new ArrayList<>();
    results.add(result("entry VM lost: bytes at each other", "B", costs, Costs::vmLossBytes));
    results.add(
        result("entry VM lost: calls to the store", "calls", costs, Costs::vmLossStoreCalls));
    results.add(
        result("entry VM lost: its targets held again", "ms", costs, Costs::takeoverMillis));
    results.add(result("entry VM started: its bytes", "B", costs, Costs::vmStartBytes));
    results.add(
        result("entry VM started: calls to the store", "calls", costs, Costs::vmStartStoreCalls));
    results.add(
        result("zone lost: bytes at each other entry VM", "B", costs, Costs::zoneLossBytes));
    return results;
  }

  private static SlopeResult result(
      String name, String unit, List<Costs> costs, ToDoubleFunction<Costs> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < ZONES.length; i++) {
      points.add(new Slope.Point(ZONES[i], value.applyAsDouble(costs.get(i))));
    }
    return new SlopeResult(
        name, unit, "zone", Slope.fit(points), TargetSize.ZONES, "entry.control");
  }

  private static Costs measureFleetOf(int zones) throws Exception {
    Contract contract = ControlSlopes.fleetContract(zones, VMS_PER_ZONE);
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, VMS_PER_ZONE);
        BlockingHttpClient httpClient = BlockingHttpClient.withTimeout(TIMEOUT)) {
      system.awaitReady();
      Thread.sleep(SETTLE_TIME.toMillis());
      return new FailureCosts(store, system, httpClient, contract).measureFleet();
    }
  }

  private Costs measureFleet() throws Exception {
    Traffic start = currentTraffic();
    Thread.sleep(OBSERVATION_TIME.toMillis());
    Traffic baseline = currentTraffic();
    String zone = contract.zones().get(0);
    String lostVm = vmName(zone, VMS_PER_ZONE);
    long lostNanos = System.nanoTime();
    system.killEntry(lostVm);
    double takeoverMillis = awaitTakeover(zone, lostVm, lostNanos);
    sleepUntil(lostNanos + OBSERVATION_TIME.toNanos());
    Traffic afterLoss = currentTraffic();
    // The baseline period has the same length, unless the takeover takes longer than the
    // observation time.
    double lossPeriods = (System.nanoTime() - lostNanos) / (double) OBSERVATION_TIME.toNanos();
    Traffic beforeStart = currentTraffic();
    long startedNanos = System.nanoTime();
    String newVm = system.startEntry(zone, VMS_PER_ZONE + 1);
    awaitServing(newVm);
    sleepUntil(startedNanos + OBSERVATION_TIME.toNanos());
    Traffic afterStart = currentTraffic();
    String lastZone = contract.zones().get(contract.zones().size() - 1);
    for (int i = 1; i <= VMS_PER_ZONE; i++) {
      system.killEntry(vmName(lastZone, i));
    }
    Thread.sleep(OBSERVATION_TIME.toMillis());
    Traffic afterZone = currentTraffic();
    double baselineBytes = baseline.bytesSince(start);
    double baselineCalls = baseline.storeCalls - start.storeCalls;
    return new Costs(
        afterLoss.bytesSince(baseline) - baselineBytes * lossPeriods,
        afterLoss.storeCalls - baseline.storeCalls - baselineCalls * lossPeriods,
        takeoverMillis,
        afterStart.bytesByVm.get(newVm),
        afterStart.storeCalls - beforeStart.storeCalls - baselineCalls,
        afterZone.bytesSince(afterStart) - baselineBytes);
  }

  private String vmName(String zone, int number) {
    return contract.customer() + "-entry-" + zone + "-" + number;
  }

  private Traffic currentTraffic() throws IOException {
    Map<String, Double> bytes = new HashMap<>();
    for (Map.Entry<String, EntryVm> vm : system.entries().entrySet()) {
      bytes.put(vm.getKey(), ControlSlopes.controlBytes(vm.getValue(), httpClient));
    }
    return new Traffic(bytes, ControlSlopes.storeCalls(store));
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
  }

  private void awaitServing(String vm) throws Exception {
    EntryVm newVm = system.entries().get(vm);
    long deadline = System.nanoTime() + MAX_TAKEOVER_NANOS;
    while (!newVm.isServing(1) && System.nanoTime() < deadline) {
      Thread.sleep(10);
    }
  }

  /** Milliseconds until the zone view has another holder for each target of {@code lostVm}. */
  private double awaitTakeover(String zone, String lostVm, long lostNanos) throws Exception {
    EntryVm survivor = system.entries().get(vmName(zone, 1));
    URI state = URI.create("http://127.0.0.1:" + survivor.operatorsPort() + "/v1/state");
    while (System.nanoTime() - lostNanos < MAX_TAKEOVER_NANOS) {
      JsonNode holdings =
          JSON.readTree(httpClient.get(state).body()).path("views").path(zone).path("holdings");
      if (!holders(holdings).contains(lostVm)) {
        break;
      }
      Thread.sleep(20);
    }
    return (System.nanoTime() - lostNanos) / 1e6;
  }

  private static List<String> holders(JsonNode holdings) {
    List<String> holders = new ArrayList<>();
    holdings.forEach(holding -> holders.add(holding.path("holder").asText()));
    return holders;
  }
}
