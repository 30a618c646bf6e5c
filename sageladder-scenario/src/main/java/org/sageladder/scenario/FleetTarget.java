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
  private static final int MISSED_HEARTBEATS = 3;

  /** A crashed target is back, cold, after this time and its cold time. */
  private static final long RESTART_MILLIS = 500;

  /** A target that leaves goes on serving for this long beyond the drain time. */
  private static final long SERVES_ON_MILLIS = 1_500;

  private final FleetParts parts;
  private final Service service;
  private final SimulatedHost host;
  private String id = "";
  private TargetStandIn process;
  private boolean running;
  private boolean registered;
  private String written = "";
  private long heardAt;

  FleetTarget(FleetParts parts, Service service, SimulatedHost host) {
    this.parts = parts;
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
  private String ledgerName() {
    return process.facts().incarnation().toString();
  }

  void start(long coldMillis) {
    start(parts.nextTargetId(), coldMillis);
  }

  private void start(String underId, long coldMillis) {
    id = underId;
    Loop own = parts.network().processLoop(host);
    TargetFacts facts =
        new TargetFacts(
            new TargetIncarnation(id, parts.now()),
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
            parts.day().ledger(),
            parts.seed(),
            () -> crash(RESTART_MILLIS + service.traits().coldMillis()),
            ServerPort.OpenListener.ignored());
    running = true;
    registered = true;
    written = "";
    heardAt = parts.now();
    own.execute(this::report);
    own.scheduleAtFixedRate(HEARTBEAT_MILLIS, this::report);
    watchOver(id);
  }

  /** A heartbeat, where it reaches the parts.store(). */
  private void report() {
    boolean reaches =
        parts.storePort().acceptsReports(host.ip())
            && parts.network().isReachableBothWays(host, parts.storeHost());
    if (!reaches || !registered) {
      return;
    }
    heardAt = parts.now();
    process.onFactsStored();
    String entry = PlatformTexts.targetEntry(process.facts(), 0);
    String key = "servers/" + id;
    if (entry.equals(written) && parts.store().find(key) != null) {
      return;
    }
    if (!written.isEmpty() && parts.store().find(key) == null) {
      parts.day().ledger().recordEvent(PlatformEvent.Kind.TARGET_BACK, ledgerName(), parts.now());
    }
    written = entry;
    var unused = parts.store().put(key, PlatformTexts.base64(entry), 0);
  }

  /** The platform removes the entry of a target that is silent. */
  private void watchOver(String incarnation) {
    parts.after(
        HEARTBEAT_MILLIS,
        () -> {
          if (!id.equals(incarnation)) {
            return;
          }
          boolean silent = parts.now() - heardAt > MISSED_HEARTBEATS * HEARTBEAT_MILLIS;
          if (silent) {
            forget();
          }
          if (running || !silent) {
            watchOver(incarnation);
          }
        });
  }

  private void forget() {
    String key = "servers/" + id;
    if (parts.store().find(key) != null) {
      parts.store().remove(key);
      parts.day().ledger().recordEvent(PlatformEvent.Kind.TARGET_LEAVES, ledgerName(), parts.now());
    }
  }

  /** Crashes; it is back, cold, as a new incarnation after {@code millis}. */
  public void crash(long millis) {
    end();
    parts.after(millis, () -> start(service.traits().coldMillis()));
  }

  /** Crashes; it is back, cold, under the id that it had, and knows nothing of before. */
  public void crashAndStartAgain(long millis) {
    String former = id;
    end();
    parts.after(millis, () -> start(former, service.traits().coldMillis()));
  }

  /** True while its process runs. */
  boolean isRunning() {
    return running;
  }

  private void end() {
    running = false;
    host.kill();
  }

  /**
   * Leaves as planned and ends later.
   *
   * @param told false where it never says so: its entry is just removed
   */
  public void leave(boolean told) {
    if (told) {
      process.startDraining();
      report();
      parts.day().ledger().recordEvent(PlatformEvent.Kind.TARGET_LEAVES, ledgerName(), parts.now());
    } else {
      registered = false;
      forget();
    }
    parts.after(
        parts.day().bounds().drainMillis() + SERVES_ON_MILLIS,
        () -> {
          registered = false;
          forget();
          end();
          parts.targets().remove(host.ip());
        });
  }
}
