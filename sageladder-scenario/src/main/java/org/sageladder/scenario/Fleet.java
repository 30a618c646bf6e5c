package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.sageladder.adapter.PlatformEntry;
import org.sageladder.adapter.PlatformSettings;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.forward.Loop;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork;
import org.sageladder.standin.network.VirtualLoop;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.Ledger.Moment;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.ServerPort;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;
import org.sageladder.standin.platform.TargetStandIn;

/**
 * All processes of a deployment on one virtual loop, and what can be done to them.
 *
 * <pre>{@code
 * Fleet fleet = Fleet.start(Deployment.auction(), 7, log);
 * fleet.runFor(20_000);
 * fleet.entries().get(0).kill();
 * fleet.runFor(10_000);
 * fleet.end(); // its day is complete
 * }</pre>
 */
public final class Fleet {
  private static final int STORE_PORT = 8384;
  private static final List<Integer> ENTRY_PORTS = List.of(8381, 8388, 8383, 7200);
  private static final int TARGET_PORT = 9000;
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** Missed heartbeats after which the platform removes a target's entry. */
  private static final int MISSED_HEARTBEATS = 3;

  /** The platform starts an ended process again after this time. */
  private static final long RESTART_MILLIS = 500;

  /** Time between the start of the machines and that of the traffic. */
  private static final long LEAD_MILLIS = 3_000;

  /** A target that leaves goes on serving for this long beyond the drain time. */
  private static final long SERVES_ON_MILLIS = 1_500;

  private final Deployment deployment;
  private final long seed;
  private final LogSource logs;
  private final VirtualLoop loop = VirtualLoop.create();
  private final SimulatedNetwork network;
  private final Day day = new Day();
  private final SimulatedHost storeHost;
  private final StoreModel store;
  private final StorePort storePort;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private final List<CallersStandIn> callers = new ArrayList<>();
  private final Map<String, RouteRule> routes = new HashMap<>();
  private long version = 4;
  private int targetHosts;
  private long lastIncarnation;

  /** Where the lines of an entry VM go. */
  @FunctionalInterface
  public interface LogSource {
    /** The sink of the VM of that name; {@code fleetMillis} is the fleet's clock. */
    EventSink of(String vm, java.util.function.LongSupplier fleetMillis);

    /** Lines are forgotten. */
    static LogSource none() {
      return (vm, clock) -> EventSink.none();
    }
  }

  private Fleet(Deployment deployment, long seed, LogSource logs) {
    this.deployment = deployment;
    this.seed = seed;
    this.logs = logs;
    this.network = SimulatedNetwork.on(loop, deployment.ways(), seed);
    String firstZone = deployment.regionOfZone().keySet().iterator().next();
    this.storeHost =
        network.host("10.200.1.7", "store", deployment.regionOfZone().getOrDefault(firstZone, ""));
    Loop storeLoop = network.loopOf(storeHost);
    this.store = new StoreModel(storeLoop::now, StoreModel.PAGE);
    this.storePort =
        StorePort.open(storeLoop, storeHost.ip(), STORE_PORT, store, ServerPort.Opened.ignored());
  }

  /** Starts all machines, lets them find each other, and starts the traffic. */
  public static Fleet start(Deployment deployment, long seed, LogSource logs) {
    Fleet fleet = new Fleet(deployment, seed, logs);
    fleet.startTargets();
    fleet.startEntries();
    fleet.configure(deployment.routes());
    fleet.runFor(LEAD_MILLIS);
    fleet.startCallers();
    return fleet;
  }

  private void startTargets() {
    for (Service service : deployment.services()) {
      service
          .targets()
          .forEach(
              (zone, count) -> {
                for (int i = 0; i < count; i++) {
                  addTarget(service, zone, 0);
                }
              });
    }
  }

  private void startEntries() {
    int number = 0;
    for (String zone : deployment.regionOfZone().keySet()) {
      for (int i = 0; i < deployment.entries().getOrDefault(zone, 0); i++) {
        number++;
        String region = deployment.regionOfZone().getOrDefault(zone, "");
        Entry entry =
            new Entry(
                "entry-" + zone + "-" + (i + 1), network.host("10.1.0." + number, zone, region));
        entries.add(entry);
        entry.start();
      }
    }
  }

  private void startCallers() {
    double share = 1.0 / deployment.regionOfZone().size();
    int number = 0;
    for (Map.Entry<String, String> zone : deployment.regionOfZone().entrySet()) {
      number++;
      SimulatedHost host = network.callersHost("10.9.0." + number, zone.getKey(), zone.getValue());
      callers.add(
          CallersStandIn.start(
              network.loopOf(host),
              new CallersStandIn.Place(zone.getKey(), zone.getValue(), lookUps(zone.getKey())),
              deployment.kinds(),
              share,
              day.ledger(),
              name -> Optional.ofNullable(routes.get(name)),
              seed,
              ended -> day.requests().add(ended)));
    }
  }

  /** Look-up ports, those of the zone first, then those of its region. */
  private List<String> lookUps(String zone) {
    String region = deployment.regionOfZone().getOrDefault(zone, "");
    return entries.stream()
        .sorted(
            java.util.Comparator.comparingInt(
                entry -> {
                  if (entry.host.zone().equals(zone)) {
                    return 0;
                  }
                  return entry.host.region().equals(region) ? 1 : 2;
                }))
        .map(entry -> entry.host.ip() + ':' + ENTRY_PORTS.get(2))
        .toList();
  }

  /** Lets time pass. */
  public void runFor(long millis) {
    loop.runFor(millis);
  }

  /** Milliseconds since the start of the machines. */
  public long now() {
    return loop.now();
  }

  /** Calls {@code task} after {@code millis}. */
  public void after(long millis, Runnable task) {
    var unused = loop.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** Stops the traffic, lets what is under way end, and completes the day. */
  public Day end() {
    callers.forEach(CallersStandIn::stop);
    day.endsAt(now());
    long longest =
        deployment.kinds().stream().mapToLong(kind -> kind.deadlineMillis()).max().orElse(0);
    runFor(longest + 1_000);
    return day;
  }

  /** The day so far. */
  public Day day() {
    return day;
  }

  /** The entry VMs, by zone. */
  public List<Entry> entries() {
    return entries;
  }

  /** The targets that live, by their hosts. */
  public List<Target> targets() {
    return targets.values().stream().filter(target -> target.running).toList();
  }

  /** The callers, by zone. */
  public List<CallersStandIn> callers() {
    return callers;
  }

  /** The network between all of them. */
  public SimulatedNetwork network() {
    return network;
  }

  /** The store's port, which can go wrong. */
  public StorePort storePort() {
    return storePort;
  }

  /** What the store keeps. */
  public StoreModel store() {
    return store;
  }

  /** The store's host. */
  public SimulatedHost storeHost() {
    return storeHost;
  }

  /** The routes in force. */
  public List<RouteRule> routes() {
    return List.copyOf(routes.values());
  }

  /** Writes a newer configuration with these routes. */
  public void configure(List<RouteRule> newer) {
    version += 3;
    String text = PlatformTexts.configuration(version, newer, deployment.serviceRules());
    var unused = store.put("op/config", PlatformTexts.base64(text), 0);
    routes.clear();
    newer.forEach(
        route -> {
          routes.put(route.name(), route);
          day.allow(route);
          day.ledger().moment(Moment.Kind.CONFIGURATION, route.name(), now());
        });
  }

  /** Empties a zone. */
  public void empty(String zone) {
    var unused = store.put("op/evacuate/" + zone, PlatformTexts.base64("{}"), 0);
    day.ledger().moment(Moment.Kind.ZONE_EMPTIED, zone, now());
  }

  /** Takes an emptied zone back; its targets are cold. */
  public void takeBack(String zone) {
    targets().stream()
        .filter(target -> target.host.zone().equals(zone))
        .forEach(target -> target.process().turnCold());
    store.remove("op/evacuate/" + zone);
    day.ledger().moment(Moment.Kind.ZONE_TAKEN_BACK, zone, now());
  }

  /** Adds a target on a host of its own, cold as after any start during traffic. */
  public void addColdTarget(Service service, String zone) {
    addTarget(service, zone, service.traits().coldMillis());
  }

  private void addTarget(Service service, String zone, long coldMillis) {
    targetHosts++;
    String ip = "10.5." + targetHosts / 200 + '.' + (1 + targetHosts % 200);
    String region = deployment.regionOfZone().getOrDefault(zone, "");
    Target target = new Target(service, network.host(ip, zone, region));
    targets.put(ip, target);
    target.start(coldMillis);
  }

  /** One entry VM: its machine and the process on it. */
  public final class Entry {
    private final String name;
    private final SimulatedHost host;
    private PlatformEntry process;
    private boolean running;

    private Entry(String name, SimulatedHost host) {
      this.name = name;
      this.host = host;
    }

    /** Its machine. */
    public SimulatedHost host() {
      return host;
    }

    /** Where callers connect. */
    public int callersPort() {
      return ENTRY_PORTS.get(0);
    }

    private void start() {
      running = true;
      String settings =
          PlatformTexts.settings(
              name,
              host.ip(),
              host.zone(),
              deployment.regionOfZone(),
              ENTRY_PORTS,
              storeHost.ip() + ':' + STORE_PORT);
      process =
          PlatformEntry.start(
              PlatformSettings.parse(settings),
              network.loopOf(host),
              logs.of(name, loop::now),
              () -> 0);
    }

    /** Ends its process at once; it is started again. */
    public void kill() {
      host.kill();
      running = false;
      startAfter(RESTART_MILLIS);
    }

    /** Takes its power for {@code millis}. */
    public void powerOff(long millis) {
      network.powerOff(host);
      running = false;
      after(millis, host::powerOn);
      startAfter(millis);
    }

    /** Lets it stand still for {@code millis}. */
    public void suspend(long millis) {
      host.suspend();
      after(millis, host::resume);
    }

    /** Stops it as planned, and starts it again. */
    public void stopAndRestart() {
      PlatformEntry stopping = process;
      Runnable end =
          () -> {
            if (process == stopping && running) {
              kill();
            }
          };
      stopping.stopSoon(end);
      after(day.bounds().graceMillis(), end);
    }

    private void startAfter(long millis) {
      after(
          millis,
          () -> {
            if (!running && host.isPowered()) {
              start();
            }
          });
    }
  }

  /** One target: its machine, the process on it, and its entry in the store. */
  public final class Target {
    private final Service service;
    private final SimulatedHost host;
    private String id = "";
    private TargetStandIn process;
    private boolean running;
    private boolean registered;
    private String written = "";
    private long heardAt;

    private Target(Service service, SimulatedHost host) {
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

    private void start(long coldMillis) {
      lastIncarnation++;
      id = "t-" + lastIncarnation;
      Loop own = network.loopOf(host);
      TargetFacts facts =
          new TargetFacts(
              id,
              service.name(),
              host.ip(),
              TARGET_PORT,
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
              day.ledger(),
              seed,
              () -> crash(RESTART_MILLIS + service.traits().coldMillis()),
              ServerPort.Opened.ignored());
      running = true;
      registered = true;
      written = "";
      heardAt = now();
      own.run(this::report);
      own.each(HEARTBEAT_MILLIS, this::report);
      watchOver(id);
    }

    /** A heartbeat, where it reaches the store. */
    private void report() {
      boolean reaches =
          storePort.takesReports(host.ip()) && network.passesBothWays(host, storeHost);
      if (!reaches || !registered) {
        return;
      }
      heardAt = now();
      process.told();
      String entry = PlatformTexts.target(process.facts(), 0);
      String key = "servers/" + id;
      if (entry.equals(written) && store.find(key) != null) {
        return;
      }
      written = entry;
      var unused = store.put(key, PlatformTexts.base64(entry), 0);
    }

    /** The platform removes the entry of a target that is silent. */
    private void watchOver(String incarnation) {
      after(
          HEARTBEAT_MILLIS,
          () -> {
            if (!id.equals(incarnation)) {
              return;
            }
            boolean silent = now() - heardAt > MISSED_HEARTBEATS * HEARTBEAT_MILLIS;
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
      if (store.find(key) != null) {
        store.remove(key);
        day.ledger().moment(Moment.Kind.TARGET_LEAVES, id, now());
      }
    }

    /** Crashes; it is back, cold, as a new incarnation after {@code millis}. */
    public void crash(long millis) {
      end();
      after(millis, () -> start(service.traits().coldMillis()));
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
        process.leave();
        report();
        day.ledger().moment(Moment.Kind.TARGET_LEAVES, id, now());
      } else {
        registered = false;
        forget();
      }
      after(
          day.bounds().drainMillis() + SERVES_ON_MILLIS,
          () -> {
            registered = false;
            forget();
            end();
            targets.remove(host.ip());
          });
    }
  }
}
