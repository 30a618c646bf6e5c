package org.sageladder.scenario;

import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;
import org.sageladder.forward.Loop;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.TargetStandIn;

/** A target: its host, the process on the host, and its entry in the store. */
public final class FleetTarget {
  private static final int PORT = 9000;
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** The platform removes a target's entry once more heartbeats than this were missed. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /** Time, in addition to its cold time, after which a crashed target has restarted, cold. */
  private static final long RESTART_DELAY_MILLIS = 500;

  /** A draining target goes on serving for this long after the drain time. */
  private static final long SERVING_AFTER_DRAIN_MILLIS = 1_500;

  private final FleetContext context;
  private final Service service;
  private final SimulatedHost host;
  private String id = "";
  private TargetStandIn process;
  private boolean running;
  private boolean registered;
  private String lastWrittenEntry = "";
  private long lastHeartbeatMillis;

  FleetTarget(FleetContext context, Service service, SimulatedHost host) {
    this.context = context;
    this.service = service;
    this.host = host;
  }

  /** Its host. */
  public SimulatedHost host() {
    return host;
  }

  /** The process on its host. */
  public TargetStandIn process() {
    return process;
  }

  /** Its service. */
  public Service service() {
    return service;
  }

  /** The ledger records each incarnation of a target separately, even if its id is the same. */
  private String incarnationName() {
    return process.facts().incarnation().toString();
  }

  void start(long coldMillis) {
    start(context.nextTargetId(), coldMillis);
  }

  private void start(String targetId, long coldMillis) {
    id = targetId;
    Loop own = context.network().processLoop(host);
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation(id, context.nowMillis()),
            0,
            service.name(),
            host.ip(),
            PORT,
            host.zone(),
            host.region(),
            service.traits().slots(),
            false,
            coldMillis);
    process =
        TargetStandIn.start(
            own,
            facts,
            service.traits(),
            context.day().ledger(),
            context.seed(),
            () -> crash(RESTART_DELAY_MILLIS + service.traits().coldMillis()),
            ServerPort.OpenListener.ignored());
    running = true;
    registered = true;
    lastWrittenEntry = "";
    lastHeartbeatMillis = context.nowMillis();
    own.execute(this::sendHeartbeat);
    own.scheduleAtFixedRate(HEARTBEAT_MILLIS, this::sendHeartbeat);
    scheduleExpiryCheck(id);
  }

  /** Sends a heartbeat, and writes the target's entry if the heartbeat reaches the store. */
  private void sendHeartbeat() {
    boolean isDelivered =
        context.storePort().acceptsReports(host.ip())
            && context.network().isReachableBothWays(host, context.storeHost());
    if (!isDelivered || !registered) {
      return;
    }
    lastHeartbeatMillis = context.nowMillis();
    process.onFactsStored();
    String entry = PlatformTexts.targetEntry(process.facts(), 0);
    String key = "servers/" + id;
    if (entry.equals(lastWrittenEntry) && context.store().find(key) != null) {
      return;
    }
    if (!lastWrittenEntry.isEmpty() && context.store().find(key) == null) {
      context
          .day()
          .ledger()
          .recordEvent(PlatformEvent.Kind.TARGET_BACK, incarnationName(), context.nowMillis());
    }
    lastWrittenEntry = entry;
    var unused = context.store().put(key, PlatformTexts.base64(entry), 0);
  }

  /** Removes the target's entry, as the platform does, once heartbeats are missing. */
  private void scheduleExpiryCheck(String targetId) {
    context.runAfter(
        HEARTBEAT_MILLIS,
        () -> {
          if (!id.equals(targetId)) {
            return;
          }
          boolean silent =
              context.nowMillis() - lastHeartbeatMillis > MAX_MISSED_HEARTBEATS * HEARTBEAT_MILLIS;
          if (silent) {
            removeEntry();
          }
          if (running || !silent) {
            scheduleExpiryCheck(targetId);
          }
        });
  }

  private void removeEntry() {
    String key = "servers/" + id;
    if (context.store().find(key) != null) {
      context.store().remove(key);
      context
          .day()
          .ledger()
          .recordEvent(PlatformEvent.Kind.TARGET_LEAVES, incarnationName(), context.nowMillis());
    }
  }

  /** Crashes, and restarts cold under a new id after {@code downMillis}. */
  public void crash(long downMillis) {
    killProcess();
    context.runAfter(downMillis, () -> start(service.traits().coldMillis()));
  }

  /** Crashes, and restarts cold under the same id, without any of its former state. */
  public void crashAndRestartWithSameId(long downMillis) {
    String sameId = id;
    killProcess();
    context.runAfter(downMillis, () -> start(sameId, service.traits().coldMillis()));
  }

  /** True while its process runs. */
  boolean isRunning() {
    return running;
  }

  private void killProcess() {
    running = false;
    host.kill();
  }

  /**
   * Takes the target out of service gracefully and stops its process after the drain time.
   *
   * @param isAnnounced false if the target never announces it and its entry is simply removed
   */
  public void leave(boolean isAnnounced) {
    if (isAnnounced) {
      process.startDraining();
      sendHeartbeat();
      context
          .day()
          .ledger()
          .recordEvent(PlatformEvent.Kind.TARGET_LEAVES, incarnationName(), context.nowMillis());
    } else {
      registered = false;
      removeEntry();
    }
    context.runAfter(
        context.day().bounds().drainMillis() + SERVING_AFTER_DRAIN_MILLIS,
        () -> {
          registered = false;
          removeEntry();
          killProcess();
          context.targets().remove(host.ip());
        });
  }
}
