package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.scenario.Deployment.Service;
import org.sageladder.standin.network.SimulatedHost;
import org.sageladder.standin.network.SimulatedNetwork;
import org.sageladder.standin.platform.CallersStandIn;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.PersistentCallers;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.RequestProfile;
import org.sageladder.standin.platform.StoreModel;
import org.sageladder.standin.platform.StorePort;

/**
 * All simulated processes of a deployment on one virtual loop, with the operations that troubles
 * apply to them.
 *
 * <pre>{@code
 * Fleet fleet = Fleet.start(Deployment.auction(), 7, log);
 * fleet.runFor(20_000);
 * fleet.entries().get(0).kill();
 * fleet.runFor(10_000);
 * SimulatedDay day = fleet.finish();
 * }</pre>
 */
public final class Fleet {
  /** Time between the start of the hosts and the start of the traffic. */
  private static final long START_UP_MILLIS = 3_000;

  private static final long TARGET_START_DELAY_MILLIS = 500;
  private static final int PERSISTENT_CONNECTIONS = 8;

  private final FleetContext context;
  private final List<FleetEntry> entries = new ArrayList<>();
  private final List<CallersStandIn> callers = new ArrayList<>();
  private final Set<SimulatedHost> targetHosts = new HashSet<>();
  private final Map<String, RouteRule> routes = new HashMap<>();
  private final Tenants tenants;
  private long configurationVersion = 4;
  private int targetHostCount;
  private int callerHostCount;

  /** Provides the log sink of each entry VM. */
  @FunctionalInterface
  public interface LogSource {
    /** The sink of the VM with that name; {@code clockMillis} is the fleet's clock. */
    EventSink sinkOf(String vm, java.util.function.LongSupplier clockMillis);

    /** Discards all log lines. */
    static LogSource none() {
      return (vm, clock) -> EventSink.none();
    }
  }

  private Fleet(FleetContext context) {
    this.context = context;
    this.tenants = new Tenants(context.deployment().tenants());
  }

  /** Starts all hosts, waits until they have discovered each other, and starts the traffic. */
  public static Fleet start(Deployment deployment, long seed, LogSource logs) {
    Fleet fleet = new Fleet(new FleetContext(deployment, seed, logs));
    fleet.startEntries();
    fleet.writeConfiguration(deployment.routes());
    // Targets register shortly after the entry VMs have read the store for the first time.
    fleet.runFor(TARGET_START_DELAY_MILLIS);
    fleet.startTargets();
    fleet.runFor(START_UP_MILLIS - TARGET_START_DELAY_MILLIS);
    fleet.startCallers();
    return fleet;
  }

  private void startTargets() {
    for (Service service : context.deployment().services()) {
      service
          .targetsByZone()
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
    for (String zone : context.deployment().regionByZone().keySet()) {
      for (int i = 0; i < context.deployment().entryVmsByZone().getOrDefault(zone, 0); i++) {
        number++;
        String region = context.deployment().regionByZone().getOrDefault(zone, "");
        FleetEntry entry =
            new FleetEntry(
                context,
                "entry-" + zone + "-" + (i + 1),
                context.network().addHost("10.1.0." + number, zone, region));
        entries.add(entry);
        entry.start();
      }
    }
  }

  private void startCallers() {
    double trafficFraction = 1.0 / context.deployment().regionByZone().size();
    for (String zone : context.deployment().regionByZone().keySet()) {
      callers.add(
          startCallers(zone, zone, context.deployment().requestProfiles(), trafficFraction));
    }
    callers.forEach(each -> each.setCredentialSource(tenants::drawCredential));
    tenants.all().forEach(each -> context.day().putWorkspace(each.workspace()));
  }

  /** Starts callers on a host of their own. */
  private CallersStandIn startCallers(
      String name, String zone, List<RequestProfile> profiles, double trafficFraction) {
    callerHostCount++;
    String region = context.deployment().regionByZone().getOrDefault(zone, "");
    SimulatedHost host = context.network().addCallerHost(callerIp(), zone, region);
    return CallersStandIn.start(
        context.network().processLoop(host),
        new CallersStandIn.Location(name, zone, region, lookUpAddresses(zone)),
        profiles,
        trafficFraction,
        context.day().ledger(),
        route -> Optional.ofNullable(routes.get(route)),
        context.seed(),
        ended -> context.day().requests().add(ended));
  }

  /** Starts callers with an address of their own, which send nothing by themselves. */
  public CallersStandIn addCallers(String zone) {
    return startCallers(zone + '-' + callerHostCount, zone, List.of(), 0);
  }

  /**
   * Starts callers that open connections to an entry VM and keep sending on them until it closes
   * them, from {@code delayMillis} on and for {@code millis}.
   */
  public void startPersistentCallers(FleetEntry entry, long delayMillis, long millis, long seed) {
    callerHostCount++;
    SimulatedHost host =
        context.network().addCallerHost(callerIp(), entry.host().zone(), entry.host().region());
    PersistentCallers.World world =
        new PersistentCallers.World(
            context.network().processLoop(host),
            context.day().ledger(),
            context.deployment().requestProfiles(),
            route -> Optional.ofNullable(routes.get(route)));
    String address = entry.host().ip() + ':' + entry.callersPort();
    PersistentCallers.of(world, "late-" + callerHostCount, host.region(), address, seed)
        .start(PERSISTENT_CONNECTIONS, delayMillis, millis);
  }

  private String callerIp() {
    return "10.9." + callerHostCount / 200 + '.' + callerHostCount % 200;
  }

  /** Look-up addresses of all entry VMs: those in the zone first, then those in its region. */
  private List<String> lookUpAddresses(String zone) {
    String region = context.deployment().regionByZone().getOrDefault(zone, "");
    return entries.stream()
        .sorted(
            java.util.Comparator.comparingInt(
                entry -> {
                  if (entry.host().zone().equals(zone)) {
                    return 0;
                  }
                  return entry.host().region().equals(region) ? 1 : 2;
                }))
        .map(FleetEntry::lookUpAddress)
        .toList();
  }

  /** Advances virtual time by {@code millis}. */
  public void runFor(long millis) {
    context.loop().runFor(millis);
  }

  /** Virtual time since the start of the hosts, in milliseconds. */
  public long nowMillis() {
    return context.loop().nowMillis();
  }

  /** Runs {@code task} after {@code millis} of virtual time. */
  public void runAfter(long millis, Runnable task) {
    context.runAfter(millis, task);
  }

  /** Stops the traffic, waits until in-flight requests have ended, and returns the complete day. */
  public SimulatedDay finish() {
    callers.forEach(CallersStandIn::stop);
    context.day().endMillis(nowMillis());
    context.day().recordStoreCalls(context.storePort().callCountsByKind());
    long maxDeadlineMillis =
        context.deployment().requestProfiles().stream()
            .mapToLong(profile -> profile.deadlineMillis())
            .max()
            .orElse(0);
    runFor(maxDeadlineMillis + 1_000);
    return context.day();
  }

  /** The day so far. */
  public SimulatedDay day() {
    return context.day();
  }

  /** The entry VMs, ordered by zone. */
  public List<FleetEntry> entries() {
    return entries;
  }

  /** The targets whose process is running. */
  public List<FleetTarget> runningTargets() {
    return context.targets().values().stream().filter(FleetTarget::isRunning).toList();
  }

  /** The hosts of all targets, running or not, including those that are added later. */
  public Set<SimulatedHost> targetHosts() {
    return targetHosts;
  }

  /** The callers, one group per zone. */
  public List<CallersStandIn> callers() {
    return callers;
  }

  /** The network between all hosts. */
  public SimulatedNetwork network() {
    return context.network();
  }

  /** The store's port, at which faults can be injected. */
  public StorePort storePort() {
    return context.storePort();
  }

  /** The contents of the store. */
  public StoreModel store() {
    return context.store();
  }

  /** The store's host. */
  public SimulatedHost storeHost() {
    return context.storeHost();
  }

  /** The initial deployment. */
  public Deployment deployment() {
    return context.deployment();
  }

  /** The routes in force. */
  public List<RouteRule> routes() {
    return List.copyOf(routes.values());
  }

  /** The current tenants; call {@link #writeConfiguration} to publish changes to them. */
  public Tenants tenants() {
    return tenants;
  }

  /** Writes a newer configuration with these routes to the store. */
  public void writeConfiguration(List<RouteRule> newRoutes) {
    configurationVersion += 3;
    String text =
        PlatformTexts.configuration(
            configurationVersion,
            newRoutes,
            context.deployment().serviceRules(),
            tenants.keysByWorkspace());
    var unused = context.store().put("op/config", PlatformTexts.base64(text), 0);
    routes.clear();
    newRoutes.forEach(
        route -> {
          routes.put(route.name(), route);
          context.day().allowRoute(route, nowMillis());
          context
              .day()
              .ledger()
              .recordEvent(PlatformEvent.Kind.CONFIGURATION, route.name(), nowMillis());
        });
  }

  /**
   * Adds a route, or replaces the one with the same name, and makes callers send {@code profile} on
   * it.
   */
  public void addRoute(RouteRule added, RequestProfile profile) {
    List<RouteRule> updated = new ArrayList<>(routes());
    updated.removeIf(route -> route.name().equals(added.name()));
    updated.add(added);
    writeConfiguration(updated);
    callers.forEach(each -> each.addProfile(profile, 1.0 / callers.size()));
  }

  /** Evacuates a zone. */
  public void evacuate(String zone) {
    var unused = context.store().put("op/evacuate/" + zone, PlatformTexts.base64("{}"), 0);
    context.day().ledger().recordEvent(PlatformEvent.Kind.ZONE_EMPTIED, zone, nowMillis());
  }

  /** Puts an evacuated zone back into service; its targets are cold. */
  public void endEvacuation(String zone) {
    runningTargets().stream()
        .filter(target -> target.host().zone().equals(zone))
        .forEach(target -> target.process().becomeCold());
    context.store().remove("op/evacuate/" + zone);
    context.day().ledger().recordEvent(PlatformEvent.Kind.ZONE_TAKEN_BACK, zone, nowMillis());
  }

  /** Adds a target on a new host; it is cold, like every target that starts during traffic. */
  public void addColdTarget(Service service, String zone) {
    addTarget(service, zone, service.traits().coldMillis());
  }

  private void addTarget(Service service, String zone, long coldMillis) {
    targetHostCount++;
    String ip = "10.5." + targetHostCount / 200 + '.' + (1 + targetHostCount % 200);
    String region = context.deployment().regionByZone().getOrDefault(zone, "");
    SimulatedHost host = context.network().addHost(ip, zone, region);
    targetHosts.add(host);
    FleetTarget target = new FleetTarget(context, service, host);
    context.targets().put(ip, target);
    target.start(coldMillis);
  }
}
