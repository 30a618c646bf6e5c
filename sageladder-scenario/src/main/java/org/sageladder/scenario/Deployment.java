package org.sageladder.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.ServiceShare;
import org.sageladder.core.routing.Workspace;
import org.sageladder.scenario.Tenants.Tenant;
import org.sageladder.standin.network.SimulatedNetwork.OneWayDelays;
import org.sageladder.standin.platform.RequestProfile;
import org.sageladder.standin.platform.RequestProfile.ConnectionUse;
import org.sageladder.standin.platform.TargetTraits;

/**
 * A deployment: its zones, entry VMs, services with their targets, routes and traffic.
 *
 * @param regionByZone region of each zone; its iteration order is the order of the zones
 * @param entryVmsByZone number of entry VMs in each zone
 * @param services the services
 * @param routes routes of the initial configuration
 * @param requestProfiles traffic of each kind of request that callers send
 * @param networkDelays delays between hosts
 * @param tenants workspaces with API keys; empty if requests carry no API key
 */
public record Deployment(
    Map<String, String> regionByZone,
    Map<String, Integer> entryVmsByZone,
    List<Service> services,
    List<RouteRule> routes,
    List<RequestProfile> requestProfiles,
    OneWayDelays networkDelays,
    List<Tenant> tenants) {
  /** A deployment without workspaces. */
  public Deployment(
      Map<String, String> regionByZone,
      Map<String, Integer> entryVmsByZone,
      List<Service> services,
      List<RouteRule> routes,
      List<RequestProfile> requestProfiles,
      OneWayDelays networkDelays) {
    this(regionByZone, entryVmsByZone, services, routes, requestProfiles, networkDelays, List.of());
  }

  /** Host name that callers send. */
  static final String HOST = "shop.example";

  /** Number of objects that each kind of request asks for on a small deployment. */
  private static final int SMALL_OBJECT_COUNT = 24;

  /** Number of workspaces in {@link #workspaces()}. */
  private static final int WORKSPACE_COUNT = 20;

  /** One in this many seeds simulates {@link #listing()}. */
  private static final long LISTING_SEED_INTERVAL = 4;

  /** Parameters shared by a route and the kind of request that uses it. */
  private record Workload(
      String service,
      double requestsPerSecond,
      long runMillis,
      long goalMillis,
      long timeoutMillis) {}

  /**
   * A service.
   *
   * @param targetsByZone number of targets in each zone
   * @param traits capacity and timing of its targets
   */
  public record Service(String name, Map<String, Integer> targetsByZone, TargetTraits traits) {}

  /**
   * A small auction house: three regions of two zones and six entry VMs. Callers send searches,
   * bids that must not run twice, and long pipelined pulls. The slots suffice only while most runs
   * are of cached objects.
   */
  public static Deployment auction() {
    Map<String, String> zones = twoZonesPerRegion("north", "south", "west");
    return new Deployment(
        zones,
        sameInEachZone(zones, 1),
        List.of(
            new Service("search", sameInEachZone(zones, 2), TargetTraits.standard()),
            new Service("ledger", sameInEachZone(zones, 2), TargetTraits.standard()),
            new Service("archive", sameInEachZone(zones, 2), TargetTraits.standard())),
        List.of(
            idempotentRoute("browse", new Workload("search", 30, 640, 400, 2_000)),
            nonIdempotentRoute("bid", new Workload("ledger", 12, 840, 600, 2_000)),
            restrictedTo(
                idempotentRoute("pull", new Workload("archive", 3, 3_000, 1_500, 7_000)),
                Set.of("north", "south"))),
        List.of(
            callerKind(
                "browse", true, new Workload("search", 30, 640, 400, 3_000), ConnectionUse.KEPT),
            callerKind(
                "bid", false, new Workload("ledger", 12, 840, 600, 4_000), ConnectionUse.FRESH),
            callerKind(
                "pull",
                true,
                new Workload("archive", 3, 3_000, 1_500, 8_000),
                ConnectionUse.PIPELINED)),
        OneWayDelays.standard());
  }

  /**
   * Short look-ups of a busy listing on few targets. Each target gets more requests than a cold
   * target can handle, so the day depends mainly on how cold starts are handled.
   */
  public static Deployment listing() {
    Map<String, String> zones = twoZonesPerRegion("north", "south", "west");
    return new Deployment(
        zones,
        sameInEachZone(zones, 1),
        List.of(new Service("search", sameInEachZone(zones, 1), TargetTraits.standard())),
        List.of(idempotentRoute("browse", new Workload("search", 90, 120, 400, 2_000))),
        List.of(
            callerKind(
                "browse", true, new Workload("search", 90, 120, 400, 3_000), ConnectionUse.KEPT)),
        OneWayDelays.standard());
  }

  /**
   * Kalnins and Dauge according to their specification: twelve entry VMs and 46 targets, unevenly
   * distributed. The slots suffice only while objects are cached.
   */
  public static Deployment stamps() {
    Map<String, String> zones = twoZonesPerRegion("riga", "liepaja", "daugavpils");
    Map<String, Integer> smallCounts = countByZone(zones, 1, 1, 2, 2, 3, 3);
    Map<String, Integer> archiveCounts = countByZone(zones, 1, 1, 5, 5, 5, 5);
    TargetTraits larger = new TargetTraits(4, 12, 27, 0.3, 3_000, 3.1, 10_000);
    return new Deployment(
        zones,
        countByZone(zones, 2, 2, 3, 2, 2, 1),
        List.of(
            new Service("listing", smallCounts, TargetTraits.standard()),
            new Service("ledger", smallCounts, TargetTraits.standard()),
            new Service("archive", archiveCounts, larger)),
        List.of(
            idempotentRoute("browse", new Workload("listing", 82.2, 640, 400, 2_000)),
            nonIdempotentRoute("bid", new Workload("ledger", 32.1, 840, 600, 2_000)),
            idempotentRoute("catalogue", new Workload("archive", 38, 1_600, 1_000, 4_000)),
            idempotentRoute("provenance", new Workload("archive", 24, 2_560, 1_500, 6_000))),
        List.of(
            callerKind(
                "browse", true, new Workload("listing", 82.2, 640, 400, 3_000), ConnectionUse.KEPT),
            callerKind(
                "bid", false, new Workload("ledger", 32.1, 840, 600, 4_000), ConnectionUse.FRESH),
            callerKind(
                "catalogue",
                true,
                new Workload("archive", 19, 1_600, 1_000, 8_000),
                ConnectionUse.PIPELINED),
            callerKind(
                "provenance",
                true,
                new Workload("archive", 24, 2_560, 1_500, 12_000),
                ConnectionUse.FRESH)),
        OneWayDelays.standard());
  }

  /**
   * The archive of Kannelkoda according to its specification: eight entry VMs and 38 targets in
   * regions that are far apart.
   */
  public static Deployment archive() {
    Map<String, String> zones = twoZonesPerRegion("tallinn", "tartu", "parnu");
    TargetTraits traits = TargetTraits.standard();
    return new Deployment(
        zones,
        countByZone(zones, 2, 1, 1, 1, 2, 1),
        List.of(
            new Service("lyrics", countByZone(zones, 3, 3, 1, 1, 2, 2), traits),
            new Service("donations", countByZone(zones, 3, 3, 1, 1, 2, 2), traits),
            new Service("exports", countByZone(zones, 3, 3, 1, 1, 3, 3), traits)),
        List.of(
            idempotentRoute("lyric", new Workload("lyrics", 53.1, 480, 400, 2_000)),
            nonIdempotentRoute("donation", new Workload("donations", 20.1, 640, 500, 2_000)),
            idempotentRoute("transcript", new Workload("exports", 22.4, 1_200, 800, 3_000)),
            idempotentRoute("audio", new Workload("exports", 13, 1_920, 1_200, 5_000))),
        List.of(
            callerKind(
                "lyric", true, new Workload("lyrics", 53.1, 480, 400, 2_500), ConnectionUse.KEPT),
            callerKind(
                "donation",
                false,
                new Workload("donations", 20.1, 640, 500, 3_000),
                ConnectionUse.FRESH),
            callerKind(
                "transcript",
                true,
                new Workload("exports", 11.2, 1_200, 800, 6_000),
                ConnectionUse.PIPELINED),
            callerKind(
                "audio",
                true,
                new Workload("exports", 13, 1_920, 1_200, 10_000),
                ConnectionUse.FRESH)),
        new OneWayDelays(100, 900, 55_000, 8_000));
  }

  /**
   * The Guild's bookings according to its specification: twelve entry VMs and 44 targets, of which
   * few are near Cairo.
   */
  public static Deployment bookings() {
    Map<String, String> zones = twoZonesPerRegion("cairo", "alex", "upper-egypt");
    Map<String, Integer> smallCounts = countByZone(zones, 1, 1, 2, 2, 3, 3);
    Map<String, Integer> deskCounts = countByZone(zones, 1, 1, 4, 4, 5, 5);
    TargetTraits traits = new TargetTraits(3, 9, 25, 0.3, 3_000, 2.2, 10_000);
    TargetTraits desk = new TargetTraits(3, 9, 30, 0.3, 3_000, 2.2, 10_000);
    return new Deployment(
        zones,
        countByZone(zones, 3, 2, 3, 1, 2, 1),
        List.of(
            new Service("listings", smallCounts, traits),
            new Service("deposits", smallCounts, traits),
            new Service("desk", deskCounts, desk)),
        List.of(
            idempotentRoute("search", new Workload("listings", 66.1, 640, 500, 3_000)),
            nonIdempotentRoute("deposit", new Workload("deposits", 21.1, 840, 600, 1_200)),
            idempotentRoute("calendar", new Workload("desk", 21.1, 1_600, 1_200, 2_000)),
            idempotentRoute("reviews", new Workload("desk", 15.9, 2_560, 1_500, 3_000))),
        List.of(
            callerKind(
                "search",
                true,
                new Workload("listings", 66.1, 640, 500, 3_000),
                ConnectionUse.PIPELINED),
            callerKind(
                "deposit",
                false,
                new Workload("deposits", 21.1, 840, 600, 4_000),
                ConnectionUse.KEPT),
            callerKind(
                "calendar",
                true,
                new Workload("desk", 21.1, 1_600, 1_200, 8_000),
                ConnectionUse.PIPELINED),
            callerKind(
                "reviews",
                true,
                new Workload("desk", 15.9, 2_560, 1_500, 12_000),
                ConnectionUse.PIPELINED)),
        new OneWayDelays(100, 1_400, 55_000, 3_000));
  }

  /**
   * Kalnins and Dauge at a larger scale: 85 entry VMs in nine zones and 324 targets. Riga has a
   * tenth of the slots for a third of the traffic.
   */
  public static Deployment grown() {
    Map<String, String> zones = new LinkedHashMap<>();
    for (String region : List.of("riga", "liepaja", "daugavpils")) {
      for (String zone : List.of("a", "b", "c")) {
        zones.put(region + '-' + zone, region);
      }
    }
    TargetTraits listing = new TargetTraits(5, 15, 28, 0.25, 3_000, 3.1, 10_000);
    TargetTraits ledger = new TargetTraits(5, 15, 22, 0.25, 3_000, 3.1, 10_000);
    TargetTraits archive = new TargetTraits(5, 15, 9, 0.25, 3_000, 3.1, 10_000);
    return new Deployment(
        zones,
        countByZone(zones, 10, 8, 10, 11, 10, 8, 9, 9, 10),
        List.of(
            new Service("listing", countByZone(zones, 3, 3, 3, 12, 12, 12, 14, 14, 14), listing),
            new Service("ledger", countByZone(zones, 1, 1, 1, 6, 6, 6, 7, 7, 7), ledger),
            new Service("archive", countByZone(zones, 6, 6, 6, 27, 27, 27, 32, 32, 32), archive)),
        List.of(
            idempotentRoute("browse", new Workload("listing", 561, 767, 400, 2_000)),
            nonIdempotentRoute("bid", new Workload("ledger", 219, 1_008, 600, 2_500)),
            idempotentRoute("catalogue", new Workload("archive", 260, 1_916, 1_000, 4_000)),
            idempotentRoute("provenance", new Workload("archive", 164, 3_066, 1_500, 6_000))),
        List.of(
            callerKind(
                "browse",
                true,
                new Workload("listing", 561, 767, 400, 3_000),
                ConnectionUse.KEPT,
                185),
            callerKind(
                "bid",
                false,
                new Workload("ledger", 219, 1_008, 600, 4_000),
                ConnectionUse.FRESH,
                72),
            callerKind(
                "catalogue",
                true,
                new Workload("archive", 130, 1_916, 1_000, 8_000),
                ConnectionUse.PIPELINED,
                130),
            callerKind(
                "provenance",
                true,
                new Workload("archive", 164, 3_066, 1_500, 12_000),
                ConnectionUse.FRESH,
                130)),
        OneWayDelays.standard());
  }

  /**
   * Freight bookings on ferries: 100 entry VMs and 176 targets on shared machines whose speed
   * changes by the moment. One region has a tenth of the targets for a third of the callers.
   */
  public static Deployment freight() {
    Map<String, String> zones = twoZonesPerRegion("vestur", "austur", "sudur");
    TargetTraits.Interference interference = new TargetTraits.Interference(0.15, 2.5, 600);
    TargetTraits harbour =
        new TargetTraits(9, 27, 43, 0.3, 3_000, 7.2, 10_000).withInterference(interference);
    TargetTraits deck =
        new TargetTraits(9, 27, 24, 0.3, 3_000, 7.2, 10_000).withInterference(interference);
    return new Deployment(
        zones,
        countByZone(zones, 18, 16, 18, 16, 16, 16),
        List.of(
            new Service("harbour", countByZone(zones, 25, 25, 5, 5, 21, 21), harbour),
            new Service("deck", countByZone(zones, 18, 18, 4, 4, 15, 15), deck)),
        List.of(
            idempotentRoute("manifest", new Workload("harbour", 737, 650, 600, 2_500)),
            nonIdempotentRoute("customs", new Workload("harbour", 256, 820, 800, 3_000)),
            withPriority(
                0, nonIdempotentRoute("booking", new Workload("deck", 256, 440, 500, 2_000))),
            idempotentRoute("ledger", new Workload("deck", 150, 2_600, 2_000, 8_000))),
        List.of(
            callerKind(
                "manifest",
                true,
                new Workload("harbour", 737, 650, 600, 4_000),
                ConnectionUse.KEPT,
                263),
            callerKind(
                "customs",
                false,
                new Workload("harbour", 256, 820, 800, 5_000),
                ConnectionUse.FRESH,
                91),
            callerKind(
                "booking",
                false,
                new Workload("deck", 256, 440, 500, 2_500),
                ConnectionUse.KEPT,
                91),
            callerKind(
                "ledger",
                true,
                new Workload("deck", 150, 2_600, 2_000, 15_000),
                ConnectionUse.KEPT,
                53)),
        new OneWayDelays(100, 1_400, 55_000, 1_000));
  }

  /**
   * A catalogue of spare parts: 75 entry VMs and 216 targets, of which few take the orders. One
   * region has a tenth of the targets for a third of the callers.
   */
  public static Deployment parts() {
    Map<String, String> zones = twoZonesPerRegion("ulaanbaatar", "erdenet", "dalanzadgad");
    TargetTraits catalogue = new TargetTraits(6, 18, 27, 0.3, 3_000, 5.9, 10_000);
    TargetTraits orders = new TargetTraits(6, 18, 37, 0.3, 3_000, 5.9, 10_000);
    return new Deployment(
        zones,
        countByZone(zones, 13, 12, 13, 12, 13, 12),
        List.of(
            new Service("catalogue", countByZone(zones, 47, 47, 10, 10, 39, 39), catalogue),
            new Service("orders", countByZone(zones, 6, 6, 1, 1, 5, 5), orders)),
        List.of(
            withPriority(
                1, idempotentRoute("lookup", new Workload("catalogue", 791, 760, 600, 2_000))),
            withPriority(
                2,
                nonIdempotentRoute("reserve", new Workload("catalogue", 395, 1_000, 1_500, 2_500))),
            withPriority(
                0, idempotentRoute("manual", new Workload("orders", 109, 600, 500, 3_000))),
            nonIdempotentRoute("order", new Workload("orders", 104, 600, 500, 1_500))),
        List.of(
            callerKind(
                "lookup",
                true,
                new Workload("catalogue", 395, 760, 600, 4_000),
                ConnectionUse.PIPELINED,
                282),
            callerKind(
                "reserve",
                false,
                new Workload("catalogue", 395, 1_000, 1_500, 5_000),
                ConnectionUse.KEPT,
                141),
            callerKind(
                "manual",
                true,
                new Workload("orders", 109, 600, 500, 3_000),
                ConnectionUse.KEPT,
                38),
            callerKind(
                "order",
                false,
                new Workload("orders", 104, 600, 500, 3_000),
                ConnectionUse.KEPT,
                37)),
        new OneWayDelays(100, 1_400, 55_000, 3_000));
  }

  /** {@link #auction()} with four entry VMs in each zone, one of which reads the store. */
  public static Deployment relayed() {
    Deployment auction = auction();
    return new Deployment(
        auction.regionByZone(),
        sameInEachZone(auction.regionByZone(), 4),
        auction.services(),
        auction.routes(),
        auction.requestProfiles(),
        auction.networkDelays());
  }

  /**
   * {@link #auction()} with two entry VMs in each zone and twenty workspaces: one is large, one is
   * restricted to a region, and all have quotas of about 1.6 times their usual request rate.
   */
  public static Deployment workspaces() {
    Deployment auction = auction();
    double perSecond =
        auction.requestProfiles().stream().mapToDouble(RequestProfile::requestsPerSecond).sum();
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < WORKSPACE_COUNT; i++) {
      double weight = i == 0 ? WORKSPACE_COUNT : 1;
      double usualRate = perSecond * weight / (2 * WORKSPACE_COUNT - 1);
      double quota = Math.ceil(1.6 * usualRate);
      Set<String> regions = i == 1 ? Set.of("north") : Set.of();
      tenants.add(
          new Tenant(
              new Workspace("w-" + i, OptionalInt.empty(), new Quota(quota, quota), regions),
              List.of("key-a-" + i, "key-b-" + i),
              weight));
    }
    return new Deployment(
        auction.regionByZone(),
        sameInEachZone(auction.regionByZone(), 2),
        auction.services(),
        auction.routes(),
        auction.requestProfiles(),
        auction.networkDelays(),
        tenants);
  }

  /** The deployment of that name, as accepted by the {@code --deployment} option. */
  public static Optional<Deployment> named(String name) {
    return switch (name) {
      case "auction" -> Optional.of(auction());
      case "listing" -> Optional.of(listing());
      case "stamps" -> Optional.of(stamps());
      case "archive" -> Optional.of(archive());
      case "bookings" -> Optional.of(bookings());
      case "grown" -> Optional.of(grown());
      case "freight" -> Optional.of(freight());
      case "parts" -> Optional.of(parts());
      case "relayed" -> Optional.of(relayed());
      case "workspaces" -> Optional.of(workspaces());
      default -> Optional.empty();
    };
  }

  /** One of the small deployments, chosen by the seed of the day. */
  public static Deployment forSeed(long seed) {
    return seed % LISTING_SEED_INTERVAL == 0 ? listing() : auction();
  }

  /** The same deployment with {@code factor} times the request rate. */
  Deployment withRateFactor(double factor) {
    List<RequestProfile> scaledKinds =
        requestProfiles.stream().map(profile -> profile.withRateFactor(factor)).toList();
    return new Deployment(
        regionByZone, entryVmsByZone, services, routes, scaledKinds, networkDelays, tenants);
  }

  /** The services as they appear in the configuration. */
  public List<ServiceRule> serviceRules() {
    return services.stream()
        .map(
            service ->
                new ServiceRule(
                    service.name(),
                    390,
                    service.traits().coldMillis(),
                    service.traits().coldRequestsPerSecond()))
        .toList();
  }

  private static Map<String, String> twoZonesPerRegion(String... regions) {
    Map<String, String> zones = new LinkedHashMap<>();
    for (String region : regions) {
      zones.put(region + "-a", region);
      zones.put(region + "-b", region);
    }
    return zones;
  }

  private static Map<String, Integer> sameInEachZone(Map<String, String> zones, int count) {
    Map<String, Integer> countByZone = new LinkedHashMap<>();
    zones.keySet().forEach(zone -> countByZone.put(zone, count));
    return countByZone;
  }

  private static Map<String, Integer> countByZone(Map<String, String> zones, int... counts) {
    Map<String, Integer> countByZone = new LinkedHashMap<>();
    int next = 0;
    for (String zone : zones.keySet()) {
      countByZone.put(zone, counts[next]);
      next++;
    }
    return countByZone;
  }

  private static RouteRule idempotentRoute(String name, Workload workload) {
    return route(name, true, 2, workload);
  }

  private static RouteRule nonIdempotentRoute(String name, Workload workload) {
    return route(name, false, 1, workload);
  }

  private static RouteRule route(String name, boolean idempotent, int priority, Workload workload) {
    return new RouteRule(
        name,
        HOST,
        '/' + name + '/',
        idempotent,
        workload.timeoutMillis(),
        workload.goalMillis(),
        priority,
        List.of(new ServiceShare(workload.service(), 1)),
        2,
        true,
        Set.of(),
        false);
  }

  private static RouteRule withPriority(int priority, RouteRule route) {
    return new RouteRule(
        route.name(),
        route.host(),
        route.prefix(),
        route.idempotent(),
        route.timeoutMillis(),
        route.latencyGoalMillis(),
        priority,
        route.services(),
        route.maxTargets(),
        route.hasObjectAffinity(),
        route.regions(),
        route.anonymous());
  }

  private static RouteRule restrictedTo(RouteRule route, Set<String> regions) {
    return new RouteRule(
        route.name(),
        route.host(),
        route.prefix(),
        route.idempotent(),
        route.timeoutMillis(),
        route.latencyGoalMillis(),
        route.priority(),
        route.services(),
        route.maxTargets(),
        route.hasObjectAffinity(),
        regions,
        route.anonymous());
  }

  private static RequestProfile callerKind(
      String route, boolean idempotent, Workload workload, ConnectionUse habit) {
    return callerKind(route, idempotent, workload, habit, SMALL_OBJECT_COUNT);
  }

  private static RequestProfile callerKind(
      String route, boolean idempotent, Workload workload, ConnectionUse habit, int objects) {
    double worth = idempotent ? 1 : 2;
    return new RequestProfile(
        route,
        HOST,
        '/' + route + '/',
        idempotent,
        workload.requestsPerSecond(),
        workload.runMillis(),
        workload.goalMillis(),
        workload.timeoutMillis(),
        worth,
        objects,
        habit);
  }
}
