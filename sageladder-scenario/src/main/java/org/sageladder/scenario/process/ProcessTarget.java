package org.sageladder.scenario.process;

import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.Loop;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.standin.platform.Ledger;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.PlatformBounds;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.TargetStandIn;

/** A target on a port of its own, and its entry in the store. */
final class ProcessTarget {
  /** Names of targets begin with this, and the keys of their entries with {@link #KEY_PREFIX}. */
  static final String NAME_PREFIX = "t-";

  static final String KEY_PREFIX = "servers/" + NAME_PREFIX;

  private static final long HEARTBEAT_MILLIS = 1_500;

  /** The platform removes the entry of a target that has been silent for this long. */
  private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;

  /** A target goes on serving for this long after the time in which it is to be drained. */
  private static final long SERVING_AFTER_DRAIN_MILLIS = 1_500;

  /** The loop, the store and the ledger that all targets share. */
  record World(Loop loop, StoreModel store, Ledger ledger, long seed) {}

  private final World world;
  private final Service service;
  private final String zone;
  private final String region;
  private final String name;
  private final int port;
  private int startCount;
  private boolean isStopped;
  private boolean isLeaving;
  private boolean isListening;
  private StandInHost host;
  private TargetStandIn process;

  ProcessTarget(World world, Service service, String zone, String region, String name, int port) {
    this.world = world;
    this.service = service;
    this.zone = zone;
    this.region = region;
    this.name = name;
    this.port = port;
  }

  /** A target of the same service and zone on another port, not started yet. */
  ProcessTarget successor(String successorName, int successorPort) {
    return new ProcessTarget(world, service, zone, region, successorName, successorPort);
  }

  Service service() {
    return service;
  }

  TargetStandIn process() {
    return process;
  }

  /** True from the moment at which its port is open until it crashes. */
  boolean isAlive() {
    return isListening && host.isAlive();
  }

  /** Starts a new incarnation, unless the target was stopped; must be called on the loop. */
  void start(long coldMillis) {
    if (isStopped) {
      return;
    }
    startCount++;
    isListening = false;
    host = StandInHost.on(world.loop());
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation(name + "-" + startCount, world.loop().wallMillis()),
            0,
            service.name(),
            LocalPorts.HOST,
            port,
            zone,
            region,
            service.traits().slots(),
            false,
            coldMillis);
    process =
        TargetStandIn.start(
            host.loop(),
            facts,
            service.traits(),
            world.ledger(),
            world.seed(),
            () -> crash(service.traits().coldMillis()),
            openPort -> isListening = true);
    host.loop().execute(this::register);
    host.loop().scheduleAtFixedRate(HEARTBEAT_MILLIS, this::register);
  }

  private void register() {
    if (isLeaving && !process.facts().isDraining()) {
      return;
    }
    process.onFactsStored();
    String entry = PlatformTexts.base64(PlatformTexts.targetEntry(process.facts(), 0));
    StoreModel.Item stored = world.store().find(key());
    // A heartbeat that changes nothing is no change of the entry.
    if (stored == null || !entry.equals(stored.value())) {
      var unused = world.store().put(key(), entry, 0);
    }
  }

  /** Crashes, and starts again cold as a new incarnation after {@code downMillis}. */
  void crash(long downMillis) {
    if (!isAlive()) {
      return;
    }
    host.kill();
    String crashedKey = key();
    schedule(EXPIRY_MILLIS, () -> world.store().remove(crashedKey));
    isLeaving = false;
    schedule(downMillis, () -> start(service.traits().coldMillis()));
  }

  /** True from {@link #leave} on. */
  boolean isLeaving() {
    return isLeaving;
  }

  /**
   * Leaves for good: goes on serving for the time that the platform allows, then ends; must be
   * called on the loop.
   *
   * @param isAnnounced false if its entry is removed without having announced it
   */
  void leave(boolean isAnnounced) {
    isLeaving = true;
    String leavingKey = key();
    if (isAnnounced) {
      process.startDraining();
      register();
    } else {
      world.store().remove(leavingKey);
    }
    world
        .ledger()
        .recordEvent(
            PlatformEvent.Kind.TARGET_LEAVES,
            process.facts().incarnation().toString(),
            world.loop().nowMillis());
    schedule(
        PlatformBounds.standard().drainMillis() + SERVING_AFTER_DRAIN_MILLIS,
        () -> {
          stop();
          world.store().remove(leavingKey);
        });
  }

  /** Becomes cold, as after its zone was evacuated. */
  void becomeCold() {
    if (isAlive()) {
      process.becomeCold();
    }
  }

  String zone() {
    return zone;
  }

  /** Ends the target for good; must be called on the loop. */
  void stop() {
    isStopped = true;
    host.kill();
  }

  private void schedule(long delayMillis, Runnable task) {
    var unused = world.loop().schedule(delayMillis, task);
  }

  private String key() {
    return KEY_PREFIX + name.substring(NAME_PREFIX.length()) + "-" + startCount;
  }
}
