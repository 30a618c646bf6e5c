package org.sageladder.scenario.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.scenario.Deployment;
import org.sageladder.scenario.SimulatedDay;
import org.sageladder.scenario.trouble.AddedRoutes;
import org.sageladder.scenario.trouble.ForeignEntries;
import org.sageladder.standin.platform.Ledger.PlatformEvent;
import org.sageladder.standin.platform.PlatformTexts;
import org.sageladder.standin.platform.RequestProfile;

/**
 * What operators, targets and other writers change in the store during a run. Each change is
 * recorded at the moment at which the store has it. Must be used on the loop of the stand-ins.
 */
final class PlatformChanges {
  private static final long FIRST_VERSION = 7;
  private static final int MAX_ADDED_ROUTES = 3;
  private static final int LONG_ENTRY_COUNT = 4;
  static final long WATCH_SILENCE_MILLIS = 1_000;

  private final ProcessTarget.World world;
  private final Deployment deployment;
  private final SimulatedDay day;
  private final LocalPorts ports;
  private final List<ProcessTarget> targets;
  private final Random random;
  private final Map<String, RouteRule> routes = new HashMap<>();
  private final Map<String, RouteRule> writtenRoutes = new HashMap<>();
  private final Deque<String> addedRoutes = new ArrayDeque<>();
  private long version = FIRST_VERSION;
  private int addedRouteCount;
  private int foreignEntryCount;
  private boolean isRouteMoved;
  private @Nullable String evacuatedZone;

  PlatformChanges(
      ProcessTarget.World world,
      Deployment deployment,
      SimulatedDay day,
      LocalPorts ports,
      List<ProcessTarget> targets) {
    this.world = world;
    this.deployment = deployment;
    this.day = day;
    this.ports = ports;
    this.targets = targets;
    this.random = new Random(world.seed());
    deployment.routes().forEach(route -> routes.put(route.name(), route));
  }

  /** The route of that name in the newest configuration. */
  Optional<RouteRule> route(String name) {
    return Optional.ofNullable(routes.get(name));
  }

  /** Requests on the route that was added last; empty if none was. */
  List<RequestProfile> requestsOnNewestRoute() {
    return addedRoutes.isEmpty()
        ? List.of()
        : List.of(shortRequests(routes.get(addedRoutes.getLast())));
  }

  /** Version of the newest configuration. */
  long version() {
    return version;
  }

  /** Writes the configuration under the current version. */
  void writeConfiguration() {
    String configuration =
        PlatformTexts.configuration(
            version, List.copyOf(routes.values()), deployment.serviceRules());
    var unused = world.store().put("op/config", PlatformTexts.base64(configuration), 0);
    for (RouteRule route : routes.values()) {
      if (!route.equals(writtenRoutes.put(route.name(), route))) {
        day.allowRoute(route, world.loop().nowMillis());
        record(PlatformEvent.Kind.CONFIGURATION, route.name());
      }
    }
  }

  /** Writes a newer configuration with the same routes. */
  void configure() {
    version++;
    writeConfiguration();
  }

  /** Adds a route, removes the oldest added one, and moves another to a second service or back. */
  void changeRoutes() {
    addedRouteCount++;
    RouteRule added = addedRoute("added-" + addedRouteCount);
    routes.put(added.name(), added);
    addedRoutes.addLast(added.name());
    if (addedRoutes.size() > MAX_ADDED_ROUTES) {
      routes.remove(addedRoutes.removeFirst());
    }
    moveRoute();
    configure();
  }

  private RouteRule addedRoute(String name) {
    RouteRule template =
        deployment.routes().stream().filter(RouteRule::idempotent).findFirst().orElseThrow();
    return AddedRoutes.like(template, name);
  }

  private static RequestProfile shortRequests(RouteRule route) {
    return new RequestProfile(
        route.name(),
        route.host(),
        route.prefix(),
        true,
        1,
        AddedRoutes.WORK_MILLIS,
        route.latencyGoalMillis(),
        route.timeoutMillis(),
        0,
        AddedRoutes.OBJECT_COUNT,
        RequestProfile.ConnectionUse.KEPT);
  }

  private void moveRoute() {
    RouteRule original =
        deployment.routes().stream().filter(route -> !route.idempotent()).findFirst().orElseThrow();
    String second = deployment.services().get(deployment.services().size() - 1).name();
    isRouteMoved = !isRouteMoved;
    routes.put(
        original.name(),
        isRouteMoved ? original.withServices(List.of(new ServiceShare(second, 1))) : original);
  }

  /**
   * Adds a cold target, and has another one of its service and zone leave.
   *
   * @param isAnnounced false if its entry is removed without having announced it
   */
  void replaceTarget(boolean isAnnounced) {
    List<ProcessTarget> staying = new ArrayList<>(targets);
    staying.removeIf(target -> !target.isAlive() || target.isLeaving());
    if (staying.isEmpty()) {
      return;
    }
    ProcessTarget leaving = staying.get(random.nextInt(staying.size()));
    try {
      ProcessTarget added =
          leaving.successor(ProcessTarget.NAME_PREFIX + targets.size(), ports.next());
      targets.add(added);
      added.start(leaving.service().traits().coldMillis());
    } catch (IOException e) {
      throw new UncheckedIOException("no port for another target", e);
    }
    leaving.leave(isAnnounced);
  }

  /** Evacuates a zone, after taking back the one evacuated before. */
  void evacuateZone() {
    endEvacuation();
    List<String> zones = deployment.regionByZone().keySet().stream().sorted().toList();
    String zone = zones.get(random.nextInt(zones.size()));
    evacuatedZone = zone;
    var unused = world.store().put("op/evacuate/" + zone, PlatformTexts.base64("{}"), 0);
    record(PlatformEvent.Kind.ZONE_EMPTIED, zone);
  }

  /** Takes back the evacuated zone, whose targets are cold. */
  void endEvacuation() {
    String zone = evacuatedZone;
    if (zone == null) {
      return;
    }
    evacuatedZone = null;
    targets.stream()
        .filter(target -> target.zone().equals(zone))
        .forEach(ProcessTarget::becomeCold);
    world.store().remove("op/evacuate/" + zone);
    record(PlatformEvent.Kind.ZONE_TAKEN_BACK, zone);
  }

  /** Writes the next kind of entry that names no target. */
  void writeForeignEntry() {
    List<String> values = ForeignEntries.values();
    int number = foreignEntryCount % values.size();
    foreignEntryCount++;
    var unused = world.store().put("servers/other-" + number, values.get(number), 0);
  }

  /** Writes several entries of the maximum length at one moment. */
  void writeLongEntries() {
    for (int i = 0; i < LONG_ENTRY_COUNT; i++) {
      var unused = world.store().put("servers/long-" + i, ForeignEntries.longest(), 0);
    }
  }

  /** Watches get no changes while a target leaves; then the store discards its history. */
  void forgetHistory() {
    world.store().stallWatches();
    replaceTarget(true);
    var unused =
        world
            .loop()
            .schedule(
                WATCH_SILENCE_MILLIS,
                () -> {
                  world.store().compactHistory();
                  world.store().abortWatches();
                });
  }

  private void record(PlatformEvent.Kind kind, String subject) {
    day.ledger().recordEvent(kind, subject, world.loop().nowMillis());
  }
}
