package org.sageladder.scenario.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sageladder.forward.Loop;
import org.sageladder.scenario.Deployment;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.PersistentCallers;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.RequestProfile;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

/**
 * A deployment on loopback: entry VMs as processes, stand-ins of store, targets and callers on one
 * event loop of this process. Each entry VM has a loopback address of its own, by which the rules
 * tell them apart.
 */
final class ProcessFleet implements AutoCloseable {
  /** Time from a planned stop within which its effects count as planned. */
  private static final long PLANNED_STOP_MILLIS = 7_000;

  private static final int PERSISTENT_CONNECTIONS = 8;

  /** Of all VMs together; the limit only guards against a VM that never catches up. */
  private static final int CATCH_UP_TRIES = 60;

  private static final long CATCH_UP_PAUSE_MILLIS = 500;

  /** Each VM is asked on the newest route with a connection of its own for this long. */
  private static final long NEWEST_ROUTE_MILLIS = 5_000;

  private record Vm(
      EntryVmProcess process, String zone, String region, String host, List<Integer> ports) {
    String callersAddress() {
      return host + ':' + ports.get(0);
    }

    String lookUpAddress() {
      return host + ':' + ports.get(2);
    }

    String metricsAddress() {
      return host + ':' + ports.get(3);
    }
  }

  private final Deployment deployment;
  private final long seed;
  private final Loop loop = Loop.start();
  private final SimulatedDay day = new SimulatedDay();
  private final LocalPorts ports = LocalPorts.reserve();
  private final List<Vm> vms = new ArrayList<>();
  private final List<ProcessTarget> targets = new ArrayList<>();
  private final List<CallersStandIn> callers = new ArrayList<>();
  private final StoreModel store;
  private final StorePort storePort;
  private final PlatformChanges changes;
  private int plannedStopCount;
  private int newestRouteCallerCount;
  private boolean hasTraffic;
  private long startedAtMillis;

  private ProcessFleet(
      Deployment deployment, long seed, EntryVmProcess.Program program, Path folder)
      throws IOException {
    this.deployment = deployment;
    this.seed = seed;
    this.store = new StoreModel(loop::nowMillis, StoreModel.MAX_PAGE_ITEMS);
    ProcessTarget.World world = new ProcessTarget.World(loop, store, day.ledger(), seed);
    this.changes = new PlatformChanges(world, deployment, day, ports, targets);
    int port = ports.next();
    this.storePort = callOnLoop(() -> openStore(port));
    createTargets(world);
    createEntryVms(program, folder, LocalPorts.HOST + ':' + port);
  }

  /**
   * Starts store, targets and entry VMs; the traffic starts with {@link #startTraffic}.
   *
   * @param program the program of an entry VM
   * @param folder receives the settings and logs of the entry VMs
   */
  static ProcessFleet start(
      Deployment deployment, long seed, EntryVmProcess.Program program, Path folder)
      throws IOException {
    ProcessFleet fleet = new ProcessFleet(deployment, seed, program, folder);
    for (Vm vm : fleet.vms) {
      vm.process().start();
    }
    return fleet;
  }

  private StorePort openStore(int port) {
    changes.writeConfiguration();
    return StorePort.open(loop, LocalPorts.HOST, port, store, ServerPort.OpenListener.ignored());
  }

  /** Changes of the platform, which must be used on the loop only. */
  PlatformChanges changes() {
    return changes;
  }

  private void createTargets(ProcessTarget.World world) throws IOException {
    for (Service service : deployment.services()) {
      for (Map.Entry<String, Integer> count : service.targetsByZone().entrySet()) {
        for (int i = 0; i < count.getValue(); i++) {
          String zone = count.getKey();
          String name = ProcessTarget.NAME_PREFIX + targets.size();
          targets.add(new ProcessTarget(world, service, zone, regionOf(zone), name, ports.next()));
        }
      }
    }
    loop.execute(() -> targets.forEach(target -> target.start(0)));
  }

  private void createEntryVms(EntryVmProcess.Program program, Path folder, String storeAddress)
      throws IOException {
    List<Integer> vmPorts = List.of(ports.next(), ports.next(), ports.next(), ports.nextPair());
    for (String zone : deployment.regionByZone().keySet()) {
      for (int i = 0; i < deployment.entryVmsByZone().getOrDefault(zone, 0); i++) {
        String name = "entry-" + zone + '-' + (i + 1);
        String host = LocalPorts.hostOf(vms.size());
        String settings =
            PlatformTexts.settings(
                name, host, zone, deployment.regionByZone(), vmPorts, storeAddress);
        EntryVmProcess process = EntryVmProcess.create(name, program, settings, folder);
        vms.add(new Vm(process, zone, regionOf(zone), host, vmPorts));
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
          hasTraffic = true;
          loop.scheduleAtFixedRate(NEWEST_ROUTE_MILLIS, this::startCallersOfNewestRoute);
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
        changes::route,
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
          hasTraffic = false;
          callers.forEach(CallersStandIn::stop);
          day.endMillis(loop.nowMillis());
        });
  }

  /** Records that an entry VM is disturbed for {@code millis}. */
  void recordTrouble(EntryVmProcess process, long millis) {
    record(vmOf(process).host(), false, millis);
  }

  /** Records that all entry VMs are disturbed for {@code millis}. */
  void recordTrouble(long millis) {
    record(SimulatedDay.ALL_ENTRY_VMS, false, millis);
  }

  /**
   * Records that all entry VMs wait for processors for {@code millis}: rules on what single VMs do
   * in time excuse it, planned stops must cut no request nonetheless.
   */
  void recordSlowdown(long millis) {
    record(SimulatedDay.ALL_ENTRY_VMS, true, millis);
  }

  /** Records that a planned stop of an entry VM begins. */
  void recordPlannedStop(EntryVmProcess process) {
    plannedStopCount++;
    record(vmOf(process).host(), true, PLANNED_STOP_MILLIS);
  }

  int plannedStopCount() {
    return plannedStopCount;
  }

  private void record(String scope, boolean isPlanned, long millis) {
    runOnLoop(
        () -> {
          long now = loop.nowMillis();
          day.recordTrouble(new SimulatedDay.TroubleInterval(scope, isPlanned, now, now + millis));
        });
  }

  private Vm vmOf(EntryVmProcess process) {
    return vms.stream().filter(vm -> vm.process() == process).findFirst().orElseThrow();
  }

  /**
   * Opens connections to an entry VM and sends on them until it closes them, from {@code
   * delayMillis} on and for {@code millis}.
   */
  void startPersistentCallers(EntryVmProcess process, long delayMillis, long millis) {
    Vm vm = vmOf(process);
    String name = "late-" + process.name() + '-' + plannedStopCount;
    runOnLoop(
        () ->
            persistentCallers(vm, name, deployment.requestProfiles())
                .start(PERSISTENT_CONNECTIONS, delayMillis, millis));
  }

  private PersistentCallers persistentCallers(Vm vm, String name, List<RequestProfile> profiles) {
    PersistentCallers.World world =
        new PersistentCallers.World(loop, day.ledger(), profiles, changes::route);
    return PersistentCallers.of(world, name, vm.region(), vm.callersAddress(), seed);
  }

  /** Asks each VM on the newest route, whatever look-ups say. */
  private void startCallersOfNewestRoute() {
    List<RequestProfile> profiles = changes.requestsOnNewestRoute();
    if (profiles.isEmpty() || !hasTraffic) {
      return;
    }
    newestRouteCallerCount++;
    for (Vm vm : vms) {
      String name = "newest-" + vm.process().name() + '-' + newestRouteCallerCount;
      persistentCallers(vm, name, profiles).sendWhole().start(1, 0, NEWEST_ROUTE_MILLIS);
    }
  }

  /**
   * Compares what the VMs know with the store, once nothing changes any more. VMs that differ are
   * asked again for a while, since they may wait for a processor.
   *
   * @return a line for each VM that differs, or that does not tell, as those of earlier commits
   */
  List<String> vmsBehind() throws InterruptedException {
    List<String> behind = new ArrayList<>();
    int tries = 0;
    for (Vm vm : vms) {
      String difference = difference(vm);
      while (!difference.isEmpty() && tries < CATCH_UP_TRIES) {
        tries++;
        Thread.sleep(CATCH_UP_PAUSE_MILLIS);
        difference = difference(vm);
      }
      if (!difference.isEmpty()) {
        behind.add(vm.process().name() + ' ' + difference);
      }
    }
    return behind;
  }

  private String difference(Vm vm) throws InterruptedException {
    if (!vm.process().isAlive()) {
      return "";
    }
    Map<String, Long> expected =
        callOnLoop(
            () ->
                Map.of(
                    "rules_version",
                    changes.version(),
                    "store_out_of_contact",
                    0L,
                    "targets",
                    (long) store.keys(ProcessTarget.KEY_PREFIX).size()));
    try {
      VmFigures figures = VmFigures.read(vm.metricsAddress());
      for (Map.Entry<String, Long> each : expected.entrySet()) {
        OptionalLong value = figures.value(each.getKey());
        if (value.isEmpty() || value.getAsLong() != each.getValue()) {
          return each.getKey() + " is " + value + ", expected " + each.getValue();
        }
      }
      return "";
    } catch (IOException e) {
      return "does not answer: " + e.getMessage();
    }
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
