package org.sageladder.scenario.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.forward.Loop;
import org.sageladder.scenario.Deployment;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

/**
 * A deployment on loopback: entry VMs as processes, stand-ins of store, targets and callers on one
 * event loop of this process.
 *
 * <p>All addresses are those of the loopback interface, so that the rules cannot tell which entry
 * VM sent a request. They are therefore checked as if each VM were disturbed all day: rules on
 * single VMs in contact excuse everything, and rules over all VMs hold in full.
 */
final class ProcessFleet implements AutoCloseable {
  private static final long FIRST_VERSION = 7;

  /** Bound on the time from the end of the traffic to the last answer. */
  private static final long LAST_ANSWER_MILLIS = 60_000;

  private record Vm(EntryVmProcess process, String zone, String region, String lookUpAddress) {}

  private final Deployment deployment;
  private final long seed;
  private final Loop loop = Loop.start();
  private final SimulatedDay day = new SimulatedDay();
  private final LocalPorts ports = LocalPorts.reserve();
  private final Map<String, RouteRule> routes = new HashMap<>();
  private final List<Vm> vms = new ArrayList<>();
  private final List<ProcessTarget> targets = new ArrayList<>();
  private final List<CallersStandIn> callers = new ArrayList<>();
  private final StorePort storePort;
  private long startedAtMillis;

  private ProcessFleet(Deployment deployment, long seed, List<String> command, Path folder)
      throws IOException {
    this.deployment = deployment;
    this.seed = seed;
    deployment.routes().forEach(route -> routes.put(route.name(), route));
    StoreModel store = new StoreModel(loop::nowMillis, StoreModel.MAX_PAGE_ITEMS);
    int port = ports.next();
    this.storePort = callOnLoop(() -> openStore(store, port));
    createTargets(store);
    createEntryVms(command, folder, LocalPorts.HOST + ':' + port);
  }

  /**
   * Starts store, targets and entry VMs; the traffic starts with {@link #startTraffic}.
   *
   * @param command command line of an entry VM
   * @param folder receives the settings and logs of the entry VMs
   */
  static ProcessFleet start(Deployment deployment, long seed, List<String> command, Path folder)
      throws IOException {
    ProcessFleet fleet = new ProcessFleet(deployment, seed, command, folder);
    for (Vm vm : fleet.vms) {
      vm.process().start();
    }
    return fleet;
  }

  private StorePort openStore(StoreModel store, int port) {
    String configuration =
        PlatformTexts.configuration(FIRST_VERSION, deployment.routes(), deployment.serviceRules());
    var unused = store.put("op/config", PlatformTexts.base64(configuration), 0);
    deployment.routes().forEach(day::allowRoute);
    return StorePort.open(loop, LocalPorts.HOST, port, store, ServerPort.OpenListener.ignored());
  }

  private void createTargets(StoreModel store) throws IOException {
    ProcessTarget.World world = new ProcessTarget.World(loop, store, day.ledger(), seed);
    for (Service service : deployment.services()) {
      for (Map.Entry<String, Integer> count : service.targetsByZone().entrySet()) {
        for (int i = 0; i < count.getValue(); i++) {
          String zone = count.getKey();
          String name = "t-" + targets.size();
          targets.add(new ProcessTarget(world, service, zone, regionOf(zone), name, ports.next()));
        }
      }
    }
    loop.execute(() -> targets.forEach(target -> target.start(0)));
  }

  private void createEntryVms(List<String> command, Path folder, String storeAddress)
      throws IOException {
    for (String zone : deployment.regionByZone().keySet()) {
      for (int i = 0; i < deployment.entryVmsByZone().getOrDefault(zone, 0); i++) {
        String name = "entry-" + zone + '-' + (i + 1);
        List<Integer> vmPorts = List.of(ports.next(), ports.next(), ports.next(), ports.nextPair());
        String settings =
            PlatformTexts.settings(
                name, LocalPorts.HOST, zone, deployment.regionByZone(), vmPorts, storeAddress);
        vms.add(
            new Vm(
                EntryVmProcess.create(name, command, settings, folder),
                zone,
                regionOf(zone),
                LocalPorts.HOST + ':' + vmPorts.get(2)));
      }
    }
  }

  private String regionOf(String zone) {
    return deployment.regionByZone().getOrDefault(zone, "");
  }

  /** Starts the callers. */
  void startTraffic() {
    callOnLoop(
        () -> {
          startedAtMillis = loop.nowMillis();
          double fraction = 1.0 / deployment.regionByZone().size();
          deployment
              .regionByZone()
              .keySet()
              .forEach(zone -> callers.add(startCallers(zone, fraction)));
          return true;
        });
  }

  private CallersStandIn startCallers(String zone, double fraction) {
    return CallersStandIn.start(
        loop,
        new CallersStandIn.Location(zone, zone, regionOf(zone), lookUpAddresses(zone)),
        deployment.requestProfiles(),
        fraction,
        day.ledger(),
        route -> Optional.ofNullable(routes.get(route)),
        seed,
        ended -> day.requests().add(ended));
  }

  private List<String> lookUpAddresses(String zone) {
    return vms.stream()
        .sorted(Comparator.comparingInt(vm -> distance(vm, zone)))
        .map(Vm::lookUpAddress)
        .toList();
  }

  private int distance(Vm vm, String zone) {
    if (vm.zone().equals(zone)) {
      return 0;
    }
    return vm.region().equals(regionOf(zone)) ? 1 : 2;
  }

  /** The entry VMs, ordered by zone. */
  List<EntryVmProcess> entryVms() {
    return vms.stream().map(Vm::process).toList();
  }

  /** The targets, which must be used on the loop only. */
  List<ProcessTarget> targets() {
    return targets;
  }

  /** Port of the store, which must be used on the loop only. */
  StorePort storePort() {
    return storePort;
  }

  /** Runs {@code task} on the loop of the stand-ins and waits for it. */
  void runOnLoop(Runnable task) {
    callOnLoop(
        () -> {
          task.run();
          return true;
        });
  }

  private <T> T callOnLoop(Supplier<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            result.complete(call.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.join();
  }

  /** Stops the traffic; requests in flight continue. */
  void stopTraffic() {
    runOnLoop(
        () -> {
          callers.forEach(CallersStandIn::stop);
          day.endMillis(loop.nowMillis());
          day.recordTrouble(
              new SimulatedDay.TroubleInterval(
                  SimulatedDay.ALL_ENTRY_VMS,
                  false,
                  startedAtMillis,
                  loop.nowMillis() + LAST_ANSWER_MILLIS));
        });
  }

  /** Evaluates the day on the loop of the stand-ins, after {@link #stopTraffic}. */
  <T> T evaluate(Function<SimulatedDay, T> evaluation) {
    return callOnLoop(() -> evaluation.apply(day));
  }

  /** Time since the start of the traffic at {@code loopMillis} of the recorded day. */
  long trafficMillis(long loopMillis) {
    return loopMillis - startedAtMillis;
  }

  @Override
  public void close() throws IOException {
    vms.forEach(vm -> vm.process().kill());
    runOnLoop(() -> targets.forEach(ProcessTarget::stop));
    loop.close();
    ports.close();
  }
}
