package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.RequestProfile;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

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
  /** Time between the start of the machines and that of the traffic. */
  private static final long LEAD_MILLIS = 3_000;

  private static final long TARGETS_AFTER_MILLIS = 500;

  private final FleetParts parts;
  private final List<FleetEntry> entries = new ArrayList<>();
  private final List<CallersStandIn> callers = new ArrayList<>();
  private final Map<String, RouteRule> routes = new HashMap<>();
  private final Customers customers;
  private long version = 4;
  private int targetHosts;

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

  private Fleet(FleetParts parts) {
    this.parts = parts;
    this.customers = new Customers(parts.deployment().customers());
  }

  /** Starts all machines, lets them find each other, and starts the traffic. */
  public static Fleet start(Deployment deployment, long seed, LogSource logs) {
    Fleet fleet = new Fleet(new FleetParts(deployment, seed, logs));
    fleet.startEntries();
    fleet.configure(deployment.routes());
    // Targets start with the entry VMs and register a moment after these have read the store.
    fleet.runFor(TARGETS_AFTER_MILLIS);
    fleet.startTargets();
    fleet.runFor(LEAD_MILLIS - TARGETS_AFTER_MILLIS);
    fleet.startCallers();
    return fleet;
  }

  private void startTargets() {
    for (Service service : parts.deployment().services()) {
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
    for (String zone : parts.deployment().regionOfZone().keySet()) {
      for (int i = 0; i < parts.deployment().entries().getOrDefault(zone, 0); i++) {
        number++;
        String region = parts.deployment().regionOfZone().getOrDefault(zone, "");
        FleetEntry entry =
            new FleetEntry(
                parts,
                "entry-" + zone + "-" + (i + 1),
                parts.network().addHost("10.1.0." + number, zone, region));
        entries.add(entry);
        entry.start();
      }
    }
  }

  private void startCallers() {
    double share = 1.0 / parts.deployment().regionOfZone().size();
    int number = 0;
    for (Map.Entry<String, String> zone : parts.deployment().regionOfZone().entrySet()) {
      number++;
      SimulatedHost host =
          parts.network().addCallerHost("10.9.0." + number, zone.getKey(), zone.getValue());
      callers.add(
          CallersStandIn.start(
              parts.network().processLoop(host),
              new CallersStandIn.Location(zone.getKey(), zone.getValue(), lookUps(zone.getKey())),
              parts.deployment().kinds(),
              share,
              parts.day().ledger(),
              name -> Optional.ofNullable(routes.get(name)),
              parts.seed(),
              ended -> parts.day().requests().add(ended)));
    }
    callers.forEach(each -> each.setCredentialSource(customers::draw));
    customers.all().forEach(each -> parts.day().hold(each.workspace()));
  }

  /** Look-up ports, those of the zone first, then those of its region. */
  private List<String> lookUps(String zone) {
    String region = parts.deployment().regionOfZone().getOrDefault(zone, "");
    return entries.stream()
        .sorted(
            java.util.Comparator.comparingInt(
                entry -> {
                  if (entry.host().zone().equals(zone)) {
                    return 0;
                  }
                  return entry.host().region().equals(region) ? 1 : 2;
                }))
        .map(FleetEntry::lookUps)
        .toList();
  }

  /** Lets time pass. */
  public void runFor(long millis) {
    parts.loop().runFor(millis);
  }

  /** Milliseconds since the start of the machines. */
  public long now() {
    return parts.loop().nowMillis();
  }

  /** Calls {@code task} after {@code millis}. */
  public void after(long millis, Runnable task) {
    parts.after(millis, task);
  }

  /** Stops the traffic, lets what is under way end, and completes the parts.day(). */
  public Day end() {
    callers.forEach(CallersStandIn::stop);
    parts.day().endsAt(now());
    long longest =
        parts.deployment().kinds().stream()
            .mapToLong(kind -> kind.deadlineMillis())
            .max()
            .orElse(0);
    runFor(longest + 1_000);
    return parts.day();
  }

  /** The day so far. */
  public Day day() {
    return parts.day();
  }

  /** The entry VMs, by zone. */
  public List<FleetEntry> entries() {
    return entries;
  }

  /** The targets that live, by their hosts. */
  public List<FleetTarget> targets() {
    return parts.targets().values().stream().filter(FleetTarget::isRunning).toList();
  }

  /** The callers, by zone. */
  public List<CallersStandIn> callers() {
    return callers;
  }

  /** The network between all of them. */
  public SimulatedNetwork network() {
    return parts.network();
  }

  /** The store's port, which can go wrong. */
  public StorePort storePort() {
    return parts.storePort();
  }

  /** What the store keeps. */
  public StoreModel store() {
    return parts.store();
  }

  /** The store's host. */
  public SimulatedHost storeHost() {
    return parts.storeHost();
  }

  /** The deployment as it was at the start. */
  public Deployment deployment() {
    return parts.deployment();
  }

  /** The routes in force. */
  public List<RouteRule> routes() {
    return List.copyOf(routes.values());
  }

  /** The workspaces as they are now; a change is in the configuration with {@link #configure}. */
  public Customers customers() {
    return customers;
  }

  /** Writes a newer configuration with these routes. */
  public void configure(List<RouteRule> newer) {
    version += 3;
    String text =
        PlatformTexts.configuration(
            version, newer, parts.deployment().serviceRules(), customers.configured());
    var unused = parts.store().put("op/config", PlatformTexts.base64(text), 0);
    routes.clear();
    newer.forEach(
        route -> {
          routes.put(route.name(), route);
          parts.day().allow(route);
          parts.day().ledger().recordEvent(PlatformEvent.Kind.CONFIGURATION, route.name(), now());
        });
  }

  /** Adds a route to those in force, once by its name, and callers who send {@code kind} on it. */
  public void addRoute(RouteRule added, RequestProfile kind) {
    List<RouteRule> all = new ArrayList<>(routes());
    all.removeIf(route -> route.name().equals(added.name()));
    all.add(added);
    configure(all);
    callers.forEach(each -> each.addProfile(kind, 1.0 / callers.size()));
  }

  /** Empties a zone. */
  public void empty(String zone) {
    var unused = parts.store().put("op/evacuate/" + zone, PlatformTexts.base64("{}"), 0);
    parts.day().ledger().recordEvent(PlatformEvent.Kind.ZONE_EMPTIED, zone, now());
  }

  /** Takes an emptied zone back; its targets are cold. */
  public void takeBack(String zone) {
    targets().stream()
        .filter(target -> target.host().zone().equals(zone))
        .forEach(target -> target.process().becomeCold());
    parts.store().remove("op/evacuate/" + zone);
    parts.day().ledger().recordEvent(PlatformEvent.Kind.ZONE_TAKEN_BACK, zone, now());
  }

  /** Adds a target on a host of its own, cold as after any start during traffic. */
  public void addColdTarget(Service service, String zone) {
    addTarget(service, zone, service.traits().coldMillis());
  }

  private void addTarget(Service service, String zone, long coldMillis) {
    targetHosts++;
    String ip = "10.5." + targetHosts / 200 + '.' + (1 + targetHosts % 200);
    String region = parts.deployment().regionOfZone().getOrDefault(zone, "");
    FleetTarget target = new FleetTarget(parts, service, parts.network().addHost(ip, zone, region));
    parts.targets().put(ip, target);
    target.start(coldMillis);
  }
}
