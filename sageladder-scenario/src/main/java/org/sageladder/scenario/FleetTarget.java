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

/** One target: its machine, the process on it, and its entry in the parts.store(). */
public final class FleetTarget {
  private static final int PORT = 9000;
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** Missed heartbeats after which the platform removes a target's entry. */
  private static final int MAX_MISSED_HEARTBEATS = 3;

  /** A crashed target is back, cold, after this time and its cold time. */
  private static final long RESTART_DELAY_MILLIS = 500;

  /** A target that leaves goes on serving for this long beyond the drain time. */
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

  /** Its machine. */
  public SimulatedHost host() {
    return host;
  }

  /** What runs there. */
  public TargetStandIn process() {
    return process;
  }

  /** Its service. */
  public Service service() {
    return service;
  }

  /** Ledgers tell starts of a target apart, also those under the same id. */
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

  /** A heartbeat, where it reaches the parts.store(). */
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

  /** The platform removes the entry of a target that is silent. */
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

  /** Crashes; it is back, cold, as a new incarnation after {@code millis}. */
  public void crash(long downMillis) {
    killProcess();
    context.runAfter(downMillis, () -> start(service.traits().coldMillis()));
  }

  /** Crashes; it is back, cold, under the id that it had, and knows nothing of before. */
  public void crashAndRestartWithSameId(long downMillis) {
    String former = id;
    killProcess();
    context.runAfter(downMillis, () -> start(former, service.traits().coldMillis()));
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
   * Leaves as planned and ends later.
   *
   * @param isAnnounced false where it never says so: its entry is just removed
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
