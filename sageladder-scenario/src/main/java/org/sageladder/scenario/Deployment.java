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
import org.sageladder.scenario.Customers.Customer;
import org.sageladder.standin.network.SimulatedNetwork.OneWayDelays;
import org.sageladder.standin.platform.RequestProfile;
import org.sageladder.standin.platform.RequestProfile.ConnectionUse;
import org.sageladder.standin.platform.TargetTraits;

/**
 * A deployment: zones, entry VMs, services with their targets, kinds of request.
 *
 * @param regionOfZone region of each zone, in the order of zones
 * @param entries entry VMs in each zone
 * @param services the services
 * @param routes the operator's first routes
 * @param kinds what callers send
 * @param ways delays between hosts
 * @param customers workspaces with API keys; empty where requests bear none
 */
public record Deployment(
    Map<String, String> regionOfZone,
    Map<String, Integer> entries,
    List<Service> services,
    List<RouteRule> routes,
    List<RequestProfile> kinds,
    OneWayDelays ways,
    List<Customer> customers) {
  /** A deployment without workspaces. */
  public Deployment(
      Map<String, String> regionOfZone,
      Map<String, Integer> entries,
      List<Service> services,
      List<RouteRule> routes,
      List<RequestProfile> kinds,
      OneWayDelays ways) {
    this(regionOfZone, entries, services, routes, kinds, ways, List.of());
  }

  /** Name of the host that callers name. */
  static final String HOST = "shop.example";

  /** Objects of each kind of request on a small deployment. */
  private static final int FEW_OBJECTS = 24;

  /** Workspaces of the deployment that has some. */
  private static final int WORKSPACES = 20;

  /** Each so many days the listing is played. */
  private static final long LISTING_EACH = 4;

  /** What a kind of request and its route say beside their names. */
  private record Work(
      String service, double perSecond, long millis, long goalMillis, long timeoutMillis) {}

  /**
   * A service.
   *
   * @param targets its targets in each zone
   * @param traits what they are like
   */
  public record Service(String name, Map<String, Integer> targets, TargetTraits traits) {}

  /**
   * A small auction house: three regions of two zones, six entry VMs, searches, bids that must not
   * repeat, long pulls behind one another. The slots bear it where most runs are of remembered
   * objects.
   */
  public static Deployment auction() {
    Map<String, String> zones = zones("north", "south", "west");
    return new Deployment(
        zones,
        inEach(zones, 1),
        List.of(
            new Service("search", inEach(zones, 2), TargetTraits.standard()),
            new Service("ledger", inEach(zones, 2), TargetTraits.standard()),
            new Service("archive", inEach(zones, 2), TargetTraits.standard())),
        List.of(
            safe("browse", new Work("search", 30, 640, 400, 2_000)),
            once("bid", new Work("ledger", 12, 840, 600, 2_000)),
            only(
                safe("pull", new Work("archive", 3, 3_000, 1_500, 7_000)),
                Set.of("north", "south"))),
        List.of(
            kind("browse", true, new Work("search", 30, 640, 400, 3_000), ConnectionUse.KEPT),
            kind("bid", false, new Work("ledger", 12, 840, 600, 4_000), ConnectionUse.FRESH),
            kind(
                "pull",
                true,
                new Work("archive", 3, 3_000, 1_500, 8_000),
                ConnectionUse.PIPELINED)),
        OneWayDelays.standard());
  }

  /**
   * Short look-ups of a busy listing on few targets: each gets more than a cold one bears, so that
   * cold starts are what matters.
   */
  public static Deployment listing() {
    Map<String, String> zones = zones("north", "south", "west");
    return new Deployment(
        zones,
        inEach(zones, 1),
        List.of(new Service("search", inEach(zones, 1), TargetTraits.standard())),
        List.of(safe("browse", new Work("search", 90, 120, 400, 2_000))),
        List.of(kind("browse", true, new Work("search", 90, 120, 400, 3_000), ConnectionUse.KEPT)),
        OneWayDelays.standard());
  }

  /**
   * Kalnins and Dauge as their sheet has it: twelve entry VMs, 46 targets that lie unevenly, slots
   * that bear the load only where objects are remembered.
   */
  public static Deployment stamps() {
    Map<String, String> zones = zones("riga", "liepaja", "daugavpils");
    Map<String, Integer> few = perZone(zones, 1, 1, 2, 2, 3, 3);
    Map<String, Integer> many = perZone(zones, 1, 1, 5, 5, 5, 5);
    TargetTraits larger = new TargetTraits(4, 12, 27, 0.3, 3_000, 3.1, 10_000);
    return new Deployment(
        zones,
        perZone(zones, 2, 2, 3, 2, 2, 1),
        List.of(
            new Service("listing", few, TargetTraits.standard()),
            new Service("ledger", few, TargetTraits.standard()),
            new Service("archive", many, larger)),
        List.of(
            safe("browse", new Work("listing", 82.2, 640, 400, 2_000)),
            once("bid", new Work("ledger", 32.1, 840, 600, 2_000)),
            safe("catalogue", new Work("archive", 38, 1_600, 1_000, 4_000)),
            safe("provenance", new Work("archive", 24, 2_560, 1_500, 6_000))),
        List.of(
            kind("browse", true, new Work("listing", 82.2, 640, 400, 3_000), ConnectionUse.KEPT),
            kind("bid", false, new Work("ledger", 32.1, 840, 600, 4_000), ConnectionUse.FRESH),
            kind(
                "catalogue",
                true,
                new Work("archive", 19, 1_600, 1_000, 8_000),
                ConnectionUse.PIPELINED),
            kind(
                "provenance",
                true,
                new Work("archive", 24, 2_560, 1_500, 12_000),
                ConnectionUse.FRESH)),
        OneWayDelays.standard());
  }

  /** The archive of Kannelkoda as its sheet has it: eight entry VMs, 38 targets, far regions. */
  public static Deployment archive() {
    Map<String, String> zones = zones("tallinn", "tartu", "parnu");
    TargetTraits traits = TargetTraits.standard();
    return new Deployment(
        zones,
        perZone(zones, 2, 1, 1, 1, 2, 1),
        List.of(
            new Service("lyrics", perZone(zones, 3, 3, 1, 1, 2, 2), traits),
            new Service("donations", perZone(zones, 3, 3, 1, 1, 2, 2), traits),
            new Service("exports", perZone(zones, 3, 3, 1, 1, 3, 3), traits)),
        List.of(
            safe("lyric", new Work("lyrics", 53.1, 480, 400, 2_000)),
            once("donation", new Work("donations", 20.1, 640, 500, 2_000)),
            safe("transcript", new Work("exports", 22.4, 1_200, 800, 3_000)),
            safe("audio", new Work("exports", 13, 1_920, 1_200, 5_000))),
        List.of(
            kind("lyric", true, new Work("lyrics", 53.1, 480, 400, 2_500), ConnectionUse.KEPT),
            kind(
                "donation",
                false,
                new Work("donations", 20.1, 640, 500, 3_000),
                ConnectionUse.FRESH),
            kind(
                "transcript",
                true,
                new Work("exports", 11.2, 1_200, 800, 6_000),
                ConnectionUse.PIPELINED),
            kind(
                "audio", true, new Work("exports", 13, 1_920, 1_200, 10_000), ConnectionUse.FRESH)),
        new OneWayDelays(100, 900, 55_000, 8_000));
  }

  /** The Guild's bookings as its sheet has them: twelve entry VMs, 44 targets, few near Cairo. */
  public static Deployment bookings() {
    Map<String, String> zones = zones("cairo", "alex", "upper-egypt");
    Map<String, Integer> few = perZone(zones, 1, 1, 2, 2, 3, 3);
    Map<String, Integer> many = perZone(zones, 1, 1, 4, 4, 5, 5);
    TargetTraits traits = new TargetTraits(3, 9, 25, 0.3, 3_000, 2.2, 10_000);
    TargetTraits desk = new TargetTraits(3, 9, 30, 0.3, 3_000, 2.2, 10_000);
    return new Deployment(
        zones,
        perZone(zones, 3, 2, 3, 1, 2, 1),
        List.of(
            new Service("listings", few, traits),
            new Service("deposits", few, traits),
            new Service("desk", many, desk)),
        List.of(
            safe("search", new Work("listings", 66.1, 640, 500, 3_000)),
            once("deposit", new Work("deposits", 21.1, 840, 600, 1_200)),
            safe("calendar", new Work("desk", 21.1, 1_600, 1_200, 2_000)),
            safe("reviews", new Work("desk", 15.9, 2_560, 1_500, 3_000))),
        List.of(
            kind(
                "search",
                true,
                new Work("listings", 66.1, 640, 500, 3_000),
                ConnectionUse.PIPELINED),
            kind("deposit", false, new Work("deposits", 21.1, 840, 600, 4_000), ConnectionUse.KEPT),
            kind(
                "calendar",
                true,
                new Work("desk", 21.1, 1_600, 1_200, 8_000),
                ConnectionUse.PIPELINED),
            kind(
                "reviews",
                true,
                new Work("desk", 15.9, 2_560, 1_500, 12_000),
                ConnectionUse.PIPELINED)),
        new OneWayDelays(100, 1_400, 55_000, 3_000));
  }

  /**
   * Kalnins and Dauge grown: eighty-five entry VMs in nine zones, 324 targets. Riga has a tenth of
   * the slots for a third of the traffic.
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
        perZone(zones, 10, 8, 10, 11, 10, 8, 9, 9, 10),
        List.of(
            new Service("listing", perZone(zones, 3, 3, 3, 12, 12, 12, 14, 14, 14), listing),
            new Service("ledger", perZone(zones, 1, 1, 1, 6, 6, 6, 7, 7, 7), ledger),
            new Service("archive", perZone(zones, 6, 6, 6, 27, 27, 27, 32, 32, 32), archive)),
        List.of(
            safe("browse", new Work("listing", 561, 767, 400, 2_000)),
            once("bid", new Work("ledger", 219, 1_008, 600, 2_500)),
            safe("catalogue", new Work("archive", 260, 1_916, 1_000, 4_000)),
            safe("provenance", new Work("archive", 164, 3_066, 1_500, 6_000))),
        List.of(
            kind(
                "browse", true, new Work("listing", 561, 767, 400, 3_000), ConnectionUse.KEPT, 185),
            kind("bid", false, new Work("ledger", 219, 1_008, 600, 4_000), ConnectionUse.FRESH, 72),
            kind(
                "catalogue",
                true,
                new Work("archive", 130, 1_916, 1_000, 8_000),
                ConnectionUse.PIPELINED,
                130),
            kind(
                "provenance",
                true,
                new Work("archive", 164, 3_066, 1_500, 12_000),
                ConnectionUse.FRESH,
                130)),
        OneWayDelays.standard());
  }

  /** The small auction house with four entry VMs in each zone, of which one reads the store. */
  public static Deployment relayed() {
    Deployment auction = auction();
    return new Deployment(
        auction.regionOfZone(),
        inEach(auction.regionOfZone(), 4),
        auction.services(),
        auction.routes(),
        auction.kinds(),
        auction.ways());
  }

  /**
   * The small auction house with two entry VMs in each zone and twenty workspaces, one of them
   * large, one bound to a region, all with quotas of about 1.6 times their usual requests.
   */
  public static Deployment workspaces() {
    Deployment auction = auction();
    double perSecond =
        auction.kinds().stream().mapToDouble(RequestProfile::requestsPerSecond).sum();
    List<Customer> customers = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      double weight = i == 0 ? WORKSPACES : 1;
      double usual = perSecond * weight / (2 * WORKSPACES - 1);
      double quota = Math.ceil(1.6 * usual);
      Set<String> regions = i == 1 ? Set.of("north") : Set.of();
      customers.add(
          new Customer(
              new Workspace("w-" + i, OptionalInt.empty(), new Quota(quota, quota), regions),
              List.of("key-a-" + i, "key-b-" + i),
              weight));
    }
    return new Deployment(
        auction.regionOfZone(),
        inEach(auction.regionOfZone(), 2),
        auction.services(),
        auction.routes(),
        auction.kinds(),
        auction.ways(),
        customers);
  }

  /** The deployment of a name, as the command takes it. */
  static Optional<Deployment> named(String name) {
    return switch (name) {
      case "auction" -> Optional.of(auction());
      case "listing" -> Optional.of(listing());
      case "stamps" -> Optional.of(stamps());
      case "archive" -> Optional.of(archive());
      case "bookings" -> Optional.of(bookings());
      case "grown" -> Optional.of(grown());
      case "relayed" -> Optional.of(relayed());
      case "workspaces" -> Optional.of(workspaces());
      default -> Optional.empty();
    };
  }

  /** One of the small deployments, by the number of a day. */
  public static Deployment ofDay(long seed) {
    return seed % LISTING_EACH == 0 ? listing() : auction();
  }

  /** The same with {@code factor} times as many requests. */
  Deployment atPace(double factor) {
    List<RequestProfile> paced = kinds.stream().map(kind -> kind.withRateFactor(factor)).toList();
    return new Deployment(regionOfZone, entries, services, routes, paced, ways, customers);
  }

  /** What the operator says of the services. */
  List<ServiceRule> serviceRules() {
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

  private static Map<String, String> zones(String... regions) {
    Map<String, String> zones = new LinkedHashMap<>();
    for (String region : regions) {
      zones.put(region + "-a", region);
      zones.put(region + "-b", region);
    }
    return zones;
  }

  private static Map<String, Integer> inEach(Map<String, String> zones, int count) {
    Map<String, Integer> each = new LinkedHashMap<>();
    zones.keySet().forEach(zone -> each.put(zone, count));
    return each;
  }

  private static Map<String, Integer> perZone(Map<String, String> zones, int... counts) {
    Map<String, Integer> each = new LinkedHashMap<>();
    int next = 0;
    for (String zone : zones.keySet()) {
      each.put(zone, counts[next]);
      next++;
    }
    return each;
  }

  private static RouteRule safe(String name, Work work) {
    return route(name, true, 2, work);
  }

  private static RouteRule once(String name, Work work) {
    return route(name, false, 1, work);
  }

  private static RouteRule route(String name, boolean idempotent, int priority, Work work) {
    return new RouteRule(
        name,
        HOST,
        '/' + name + '/',
        idempotent,
        work.timeoutMillis(),
        work.goalMillis(),
        priority,
        List.of(new ServiceShare(work.service(), 1)),
        2,
        true,
        Set.of(),
        false);
  }

  private static RouteRule only(RouteRule route, Set<String> regions) {
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

  private static RequestProfile kind(
      String route, boolean idempotent, Work work, ConnectionUse habit) {
    return kind(route, idempotent, work, habit, FEW_OBJECTS);
  }

  private static RequestProfile kind(
      String route, boolean idempotent, Work work, ConnectionUse habit, int objects) {
    double worth = idempotent ? 1 : 2;
    return new RequestProfile(
        route,
        HOST,
        '/' + route + '/',
        idempotent,
        work.perSecond(),
        work.millis(),
        work.goalMillis(),
        work.timeoutMillis(),
        worth,
        objects,
        habit);
  }
}
