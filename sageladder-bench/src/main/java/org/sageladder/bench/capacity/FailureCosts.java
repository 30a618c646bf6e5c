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
 * What the failures of an ordinary day cost: an entry VM lost, one started, a zone lost.
 *
 * <p>Each is done to fleets of several sizes; a cost is the traffic in a while after the event less
 * what flowed in as long a while before it.
 */
final class FailureCosts {
  private static final Duration SETTLE = Duration.ofSeconds(4);
  private static final Duration WHILE = Duration.ofSeconds(5);
  // Longer than the waits: the library closes a kept connection that was silent for as long.
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long TAKE_OVER_MOST_NANOS = Duration.ofSeconds(20).toNanos();
  private static final int[] ZONES = {2, 4, 6, 8};
  private static final int PER_ZONE = 2;
  private static final JsonMapper JSON = new JsonMapper();

  private final StoreServer store;
  private final LocalSystem system;
  private final BlockingHttpClient caller;
  private final Contract contract;

  private FailureCosts(
      StoreServer store, LocalSystem system, BlockingHttpClient caller, Contract contract) {
    this.store = store;
    this.system = system;
    this.caller = caller;
    this.contract = contract;
  }

  /**
   * Costs in one fleet.
   *
   * @param lostBytes more bytes at each entry VM left, after one was lost
   * @param lostCalls more calls to the store, of all together
   * @param takeOverMillis until the targets of the one lost are held by another
   * @param startBytes bytes of a fresh entry VM until some seconds after it serves
   * @param startCalls more calls to the store, of all together, because of the fresh one
   * @param zoneBytes more bytes at each entry VM left, after a zone was lost
   */
  private record Costs(
      double lostBytes,
      double lostCalls,
      double takeOverMillis,
      double startBytes,
      double startCalls,
      double zoneBytes) {}

  /** Bytes of each entry VM and calls to the store, at one moment or between two. */
  private record Traffic(Map<String, Double> bytes, double calls) {
    /** Mean growth over the entry VMs that are in both. */
    double bytesSince(Traffic earlier) {
      return bytes.entrySet().stream()
          .filter(entry -> earlier.bytes.containsKey(entry.getKey()))
          .mapToDouble(entry -> entry.getValue() - earlier.bytes.get(entry.getKey()))
          .average()
          .orElse(0);
    }
  }

  static List<Line> measure() throws Exception {
    List<Costs> costs = new ArrayList<>();
    for (int zones : ZONES) {
      costs.add(ofFleet(zones));
    }
    List<Line> lines = new ArrayList<>();
    lines.add(line("entry VM lost: bytes at each other", "B", costs, Costs::lostBytes));
    lines.add(line("entry VM lost: calls to the store", "calls", costs, Costs::lostCalls));
    lines.add(line("entry VM lost: its targets held again", "ms", costs, Costs::takeOverMillis));
    lines.add(line("entry VM started: its bytes", "B", costs, Costs::startBytes));
    lines.add(line("entry VM started: calls to the store", "calls", costs, Costs::startCalls));
    lines.add(line("zone lost: bytes at each other entry VM", "B", costs, Costs::zoneBytes));
    return lines;
  }

  private static Line line(
      String name, String unit, List<Costs> costs, ToDoubleFunction<Costs> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < ZONES.length; i++) {
      points.add(new Slope.Point(ZONES[i], value.applyAsDouble(costs.get(i))));
    }
    return new Line(name, unit, "zone", Slope.fit(points), TargetSize.ZONES, "entry.control");
  }

  private static Costs ofFleet(int zones) throws Exception {
    Contract contract = ControlSlopes.fleetContract(zones, PER_ZONE);
    try (StoreServer store = StoreServer.start("127.0.0.1", 0);
        LocalSystem system = LocalSystem.start(store, contract, PER_ZONE);
        BlockingHttpClient caller = BlockingHttpClient.withTimeout(TIMEOUT)) {
      system.awaitReady();
      Thread.sleep(SETTLE.toMillis());
      return new FailureCosts(store, system, caller, contract).measureFleet();
    }
  }

  private Costs measureFleet() throws Exception {
    Traffic start = now();
    Thread.sleep(WHILE.toMillis());
    Traffic quiet = now();
    String zone = contract.zones().get(0);
    String victim = name(zone, PER_ZONE);
    long lost = System.nanoTime();
    system.killEntry(victim);
    double takeOver = awaitTakeOver(zone, victim, lost);
    sleepUntil(lost + WHILE.toNanos());
    Traffic afterLoss = now();
    // The quiet while was as long, unless taking over took longer than it.
    double loss = (System.nanoTime() - lost) / (double) WHILE.toNanos();
    Traffic beforeStart = now();
    long started = System.nanoTime();
    String fresh = system.startEntry(zone, PER_ZONE + 1);
    awaitServing(fresh);
    sleepUntil(started + WHILE.toNanos());
    Traffic afterStart = now();
    String lastZone = contract.zones().get(contract.zones().size() - 1);
    for (int i = 1; i <= PER_ZONE; i++) {
      system.killEntry(name(lastZone, i));
    }
    Thread.sleep(WHILE.toMillis());
    Traffic afterZone = now();
    double quietBytes = quiet.bytesSince(start);
    double quietCalls = quiet.calls - start.calls;
    return new Costs(
        afterLoss.bytesSince(quiet) - quietBytes * loss,
        afterLoss.calls - quiet.calls - quietCalls * loss,
        takeOver,
        afterStart.bytes.get(fresh),
        afterStart.calls - beforeStart.calls - quietCalls,
        afterZone.bytesSince(afterStart) - quietBytes);
  }

  private String name(String zone, int number) {
    return contract.customer() + "-entry-" + zone + "-" + number;
  }

  private Traffic now() throws IOException {
    Map<String, Double> bytes = new HashMap<>();
    for (Map.Entry<String, EntryVm> vm : system.entries().entrySet()) {
      bytes.put(vm.getKey(), ControlSlopes.controlBytes(vm.getValue(), caller));
    }
    return new Traffic(bytes, ControlSlopes.storeCalls(store));
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
  }

  private void awaitServing(String vm) throws Exception {
    EntryVm fresh = system.entries().get(vm);
    long most = System.nanoTime() + TAKE_OVER_MOST_NANOS;
    while (!fresh.isServing(1) && System.nanoTime() < most) {
      Thread.sleep(10);
    }
  }

  /** Milliseconds until the zone's view names another holder for each target of {@code victim}. */
  private double awaitTakeOver(String zone, String victim, long since) throws Exception {
    EntryVm left = system.entries().get(name(zone, 1));
    URI state = URI.create("http://127.0.0.1:" + left.operatorsPort() + "/v1/state");
    while (System.nanoTime() - since < TAKE_OVER_MOST_NANOS) {
      JsonNode holdings =
          JSON.readTree(caller.get(state).body()).path("views").path(zone).path("holdings");
      if (!holders(holdings).contains(victim)) {
        break;
      }
      Thread.sleep(20);
    }
    return (System.nanoTime() - since) / 1e6;
  }

  private static List<String> holders(JsonNode holdings) {
    List<String> holders = new ArrayList<>();
    holdings.forEach(holding -> holders.add(holding.path("holder").asText()));
    return holders;
  }
}
