package org.sageladder.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.sageladder.forward.Loop;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork;
import org.sageladder.standin.network.VirtualLoop;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

/** State shared by the hosts of a fleet: clock, network, store and the recorded day. */
final class FleetContext {
  static final int STORE_PORT = 8384;

  private final Deployment deployment;
  private final long seed;
  private final Fleet.LogSource logs;
  private final VirtualLoop loop = VirtualLoop.create();
  private final SimulatedNetwork network;
  private final SimulatedDay day = new SimulatedDay();
  private final SimulatedHost storeHost;
  private final StoreModel store;
  private final StorePort storePort;
  private final Map<String, FleetTarget> targets = new LinkedHashMap<>();
  private long lastTargetId;

  FleetContext(Deployment deployment, long seed, Fleet.LogSource logs) {
    this.deployment = deployment;
    this.seed = seed;
    this.logs = logs;
    this.network = SimulatedNetwork.on(loop, deployment.networkDelays(), seed);
    String firstZone = deployment.regionByZone().keySet().iterator().next();
    this.storeHost =
        network.addHost(
            "10.200.1.7", "store", deployment.regionByZone().getOrDefault(firstZone, ""));
    Loop storeLoop = network.processLoop(storeHost);
    this.store = new StoreModel(storeLoop::nowMillis, StoreModel.MAX_PAGE_ITEMS);
    this.storePort =
        StorePort.open(
            storeLoop, storeHost.ip(), STORE_PORT, store, ServerPort.OpenListener.ignored());
  }

  Deployment deployment() {
    return deployment;
  }

  long seed() {
    return seed;
  }

  Fleet.LogSource logs() {
    return logs;
  }

  VirtualLoop loop() {
    return loop;
  }

  SimulatedNetwork network() {
    return network;
  }

  SimulatedDay day() {
    return day;
  }

  SimulatedHost storeHost() {
    return storeHost;
  }

  StoreModel store() {
    return store;
  }

  StorePort storePort() {
    return storePort;
  }

  /** Targets by the IP address of their host. */
  Map<String, FleetTarget> targets() {
    return targets;
  }

  /** A new id for a target that starts. */
  String nextTargetId() {
    lastTargetId++;
    return "t-" + lastTargetId;
  }

  long nowMillis() {
    return loop.nowMillis();
  }

  void runAfter(long millis, Runnable task) {
    var unused = loop.schedule(task, millis, TimeUnit.MILLISECONDS);
  }
}
