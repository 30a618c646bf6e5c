package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.PlacingDecision.Judged;
import org.sageladder.core.placing.PlacingDecision.Reason;
import org.sageladder.core.placing.PlacingDecision.Refuse;
import org.sageladder.core.placing.PlacingDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.Workspace;

/**
 * Chooses the target on which a request ends soonest, counting what its run costs the others.
 *
 * <p>A target that has handled an object runs it in about a third of the time, and slots are too
 * few for work on unknown objects. So each object has a first choice among all targets and one in
 * each region, by rendezvous hashing, which all entry VMs agree on without talking and which moves
 * little when targets come and go. A request goes to wherever waiting, way and run together are
 * shortest: to the first choice of all where the way is short, else to that of its own region; to
 * the others as these fill up.
 *
 * <pre>{@code
 * PlacingDecision decision = placement.place(order, rule, Set.of(), now);
 * if (decision instanceof PlacingDecision.Send send) { ... }
 * }</pre>
 */
public final class Placement {
  /** What a target that is to be avoided counts as, in waiting: more than any goal. */
  private static final double AVOIDED_MILLIS = 20_000;

  /** Waiting counted for a share of slots in use of 1, so that equals share the work. */
  private static final double CROWDED_MILLIS = 4;

  /**
   * Runs of a route before a target's speed is judged by their mean: about as many as count in the
   * speed. By the guess of a route just added, a target that is well seems slow or fast, and the
   * requests of all routes leave it or crowd it.
   */
  private static final int FEWEST_FOR_USUAL = 5;

  /** Least time until a refused caller is told to come back. */
  private static final long LEAST_RETRY_MILLIS = 100;

  /**
   * A request that asks for a target.
   *
   * @param route its route
   * @param service the service whose turn it is
   * @param object hash of the object that it concerns; requests of no object have one each
   * @param millisLeft time until it must be answered
   * @param workspace whose request it is, or null where the route needs no API key
   */
  public record Order(
      RouteRule route,
      String service,
      long object,
      long millisLeft,
      @Nullable Workspace workspace) {
    /** A request of no workspace. */
    public Order(RouteRule route, String service, long object, long millisLeft) {
      this(route, service, object, millisLeft, null);
    }

    /** True where route and workspace both let the request run in {@code region}. */
    boolean allows(String region) {
      return route.allows(region) && (workspace == null || workspace.allows(region));
    }
  }

  /** What is worked out once for an order, whatever the target. */
  private record Prospects(
      Order order,
      Homes homes,
      double regionPrice,
      double ownRegionPrice,
      double knownMillis,
      double unknownMillis) {}

  private final TargetTable targets;
  private final Distances distances;
  private final RunTimes runTimes;
  private final SlotTimes slotTimes = SlotTimes.create();
  private final ColdAllowance cold;
  private final ShiftBound shift;
  private final PlacingWeights weights;
  private final RegionShare share;

  private Placement(
      TargetTable targets,
      Distances distances,
      RunTimes runTimes,
      ColdAllowance cold,
      ShiftBound shift,
      PlacingWeights weights) {
    this.targets = targets;
    this.distances = distances;
    this.runTimes = runTimes;
    this.cold = cold;
    this.shift = shift;
    this.weights = weights;
    this.share = RegionShare.create(shift::settleMillis);
  }

  /** A choice among the targets of {@code targets}. */
  public static Placement among(
      TargetTable targets,
      Distances distances,
      RunTimes runTimes,
      ColdAllowance cold,
      ShiftBound shift,
      PlacingWeights weights) {
    return new Placement(targets, distances, runTimes, cold, shift, weights);
  }

  /**
   * Chooses a target, or says why none will do.
   *
   * @param tried ids of the targets that must not be chosen again
   */
  public PlacingDecision place(
      Order order, @Nullable ServiceRule service, Set<String> tried, long now) {
    List<TargetState> usable = targets.usable(order.service(), now);
    usable.removeIf(target -> !order.allows(target.facts().region()));
    if (usable.isEmpty()) {
      return new Refuse(Reason.NO_TARGET, LEAST_RETRY_MILLIS, null);
    }
    Prospects prospects = prospects(order, usable, now);
    Best best = new Best();
    Best unmoved = new Best();
    Map<String, Best> ofRegions = new HashMap<>();
    boolean anyCold = false;
    for (TargetState target : usable) {
      if (tried.contains(target.facts().id())) {
        continue;
      }
      if (target.isCold(now) && !bears(target, service, now)) {
        anyCold = true;
        continue;
      }
      Send send = estimate(prospects, target, now);
      if (needsFirstRequest(target, prospects.homes(), now)) {
        return send;
      }
      // What the run costs those who come behind it. Not the wait: by that, queues at the targets
      // that know the object count for more, and work goes to those that run it three times as
      // long.
      double crowding = rounds(target, now) * send.runMillis();
      double cost = cost(prospects, send, now) + crowding;
      best.consider(send, cost);
      unmoved.consider(send, cost - crowding);
      ofRegions.computeIfAbsent(target.facts().region(), name -> new Best()).consider(send, cost);
    }
    return decided(order, bounded(order, best, unmoved, ofRegions, now), anyCold, now);
  }

  /**
   * The best choice, or that of the region where the request would run if nothing waited anywhere:
   * where work moves to another region only since targets are crowded, all entry VMs move theirs at
   * the same moment.
   */
  private Best bounded(
      Order order, Best best, Best unmoved, Map<String, Best> ofRegions, long now) {
    Send wanted = best.send;
    Send home = unmoved.send;
    if (wanted == null || home == null) {
      return best;
    }
    String region = home.target().facts().region();
    boolean moved = !wanted.target().facts().region().equals(region);
    Best stays = ofRegions.getOrDefault(region, best);
    if (moved && !shift.permits(now) && stays.serves(order, now)) {
      shift.placed(false, now);
      return stays;
    }
    shift.placed(moved, now);
    return best;
  }

  /** The cheapest of the choices looked at. */
  private static final class Best {
    private @Nullable Send send;
    private double cost = Double.MAX_VALUE;

    void consider(Send other, double otherCost) {
      if (otherCost < cost) {
        send = other;
        cost = otherCost;
      }
    }

    /** True where it serves: the bound on shifts never costs a caller its answer. */
    boolean serves(Order order, long now) {
      Send known = send;
      return known != null
          && known.waitMillis() + known.runMillis() <= order.millisLeft()
          && !known.target().isAvoided(now);
    }
  }

  private PlacingDecision decided(Order order, Best chosen, boolean anyCold, long now) {
    Send best = chosen.send;
    if (best == null) {
      return new Refuse(anyCold ? Reason.ALL_COLD : Reason.ALL_TRIED, LEAST_RETRY_MILLIS, null);
    }
    if (isCutOff(order, best) && isMeasured(order, best.target(), now)) {
      return new Refuse(Reason.TOO_LATE, (long) best.waitMillis(), judged(order, best, now));
    }
    return best;
  }

  /**
   * True where a request that waits there would be cut off before its run ends, by runs that were
   * measured: its caller would wait for nothing, and the slot would work for nothing. Where a slot
   * is free it is tried in any case, since runs differ and nobody waits for that slot.
   */
  private boolean isCutOff(Order order, Send send) {
    double run =
        runTimes
                .fromMeasured(order.service(), order.route(), send.known(), FEWEST_FOR_USUAL)
                .orElse(0)
            * send.target().slowness();
    return send.waitMillis() > 0 && send.waitMillis() + run > order.millisLeft();
  }

  /**
   * True where the wait follows from something measured. An entry VM that has started in the middle
   * of a rush has no answer yet; by guesses it would turn away what its targets could serve. Those
   * that are full refuse by themselves.
   *
   * <p>The queue must have been reported within the route's whole time, or hold requests from here
   * that will report it. Where all VMs refuse by older reports, nothing is sent, nothing newer is
   * ever reported, and a service that stands idle is refused for good.
   */
  private boolean isMeasured(Order order, TargetState target, long now) {
    boolean queueKnown =
        target.inFlight() > 0 || target.hasReportWithin(order.route().timeoutMillis(), now);
    return queueKnown && slotTimes.millis(order.service()).isPresent();
  }

  private Judged judged(Order order, Send send, long now) {
    long runs = runTimes.measured(order.service(), order.route(), send.known());
    double held = slotTimes.millis(order.service()).orElse(0);
    return new Judged(send, held, send.target().load(now), runs);
  }

  /**
   * True where the target has joined lately and has had nothing from here, though it is its
   * region's first choice for the object. The targets before it know the object, so that by cost
   * alone it would stay without work for as long as they have room.
   */
  private boolean needsFirstRequest(TargetState target, Homes homes, long now) {
    return target.isNewlyJoined()
        && homes.isFirstOfRegion(target)
        && !target.isAvoided(now)
        && !distances.isOtherRegion(target.facts());
  }

  private boolean bears(TargetState target, @Nullable ServiceRule service, long now) {
    return service != null && cold.permits(target.facts(), service.coldPerSecond(), now);
  }

  private Prospects prospects(Order order, List<TargetState> usable, long now) {
    RouteRule route = order.route();
    return new Prospects(
        order,
        route.byObject() ? Homes.of(order.object(), usable) : Homes.none(),
        RegionPrice.of(order.object()),
        ownRegionPrice(order, usable, now),
        runTimes.millis(order.service(), route, true),
        runTimes.millis(order.service(), route, false));
  }

  /** What a run in this VM's region costs besides: nothing for the objects that it keeps. */
  private double ownRegionPrice(Order order, List<TargetState> usable, long now) {
    if (!order.route().byObject() || keeps(order, now)) {
      return 0;
    }
    double nearest = Double.MAX_VALUE;
    for (TargetState target : usable) {
      if (distances.isOtherRegion(target.facts())) {
        nearest = Math.min(nearest, distances.millis(target.facts()));
      }
    }
    return nearest == Double.MAX_VALUE ? 0 : weights.wayCost() * nearest;
  }

  private boolean keeps(Order order, long now) {
    String service = order.service();
    double slotShare = targets.slotShare(service, distances.ownRegion());
    return share.keeps(order.object(), service, slotShare, targets.busyShare(service), now);
  }

  /** Sets which share of all zones this VM's region has; until then it keeps all objects. */
  public void zoneShare(double part) {
    share.zoneShare(part);
  }

  private Send estimate(Prospects prospects, TargetState target, long now) {
    double knows = knows(prospects, target);
    double mean = knows * prospects.knownMillis() + (1 - knows) * prospects.unknownMillis();
    double run = mean * target.slowness();
    return new Send(target, knows >= 0.5, run, wait(prospects.order(), target, mean, now));
  }

  /**
   * How long a request waits for a slot there. What stands ahead of it are requests of all routes
   * of the service: where its own run is a guess far above theirs, as that of a route just added, a
   * wait by its own run would keep it from targets that serve the others in time.
   */
  private double wait(Order order, TargetState target, double ownMillis, long now) {
    double held = slotTimes.millis(order.service()).orElse(ownMillis);
    return rounds(target, now) * held * target.slowness();
  }

  /** Requests ahead of one more that is sent there, for each slot; 0 where a slot is free. */
  private static double rounds(TargetState target, long now) {
    double over = target.load(now) + 1 - target.facts().slots();
    return Math.max(0, over / target.facts().slots());
  }

  private double knows(Prospects prospects, TargetState target) {
    boolean hadIt = target.knows(prospects.order().object());
    return hadIt ? 1 : prospects.homes().knows(target, weights);
  }

  private double cost(Prospects prospects, Send send, long now) {
    TargetState target = send.target();
    double cost = pathCost(prospects, target);
    cost += send.known() ? send.runMillis() : send.runMillis() * weights.coldRunCost();
    cost += CROWDED_MILLIS * target.load(now) / target.facts().slots();
    cost += weights.failureMillis() * target.failureShare(now);
    return target.isAvoided(now) ? cost + AVOIDED_MILLIS : cost;
  }

  /** What the network path to a target counts as: its time, and what the bytes on it are worth. */
  private double pathCost(Prospects prospects, TargetState target) {
    double path = weights.wayCost() * distances.millis(target.facts());
    if (distances.isOtherRegion(target.facts())) {
      // By a guessed path no object leaves its region sooner than others.
      double price = distances.isMeasured(target.facts()) ? prospects.regionPrice() : 1;
      return price * (path + weights.otherRegionMillis());
    }
    path += prospects.ownRegionPrice();
    return distances.isOtherZone(target.facts()) ? path + weights.otherZoneMillis() : path;
  }

  /** Notes that a request was sent as decided. */
  public void sent(Send send, long now) {
    send.target().startRequest();
    if (send.target().isCold(now)) {
      cold.sent(send.target().facts(), now);
    }
  }

  /**
   * Learns from an answer.
   *
   * @param millis from sending to the end of the answer
   * @param load what the target reported of its load, or null
   */
  public void answered(Order order, Send send, double millis, @Nullable LoadReport load, long now) {
    TargetState target = send.target();
    target.reached();
    target.outcome(true, now);
    boolean waited = load == null ? send.waitMillis() > 0 : load.waiting() > 0;
    double run = millis - distances.millis(target.facts());
    if (run > 0 && !target.isCold(now)) {
      learnSlotTime(order, target, run, load, waited);
      learnRun(order, target, run, load, waited, now);
    }
    target.remember(order.object());
  }

  private void learnSlotTime(
      Order order, TargetState target, double millis, @Nullable LoadReport load, boolean waited) {
    if (load == null && waited) {
      return;
    }
    double rounds = load == null ? 0 : roundsBehind(target, load);
    slotTimes.answered(order.service(), millis / target.slowness(), rounds);
  }

  /** Requests that waited there behind an answer, for each slot. */
  private static double roundsBehind(TargetState target, LoadReport load) {
    return Math.max(0.0, load.waiting()) / target.facts().slots();
  }

  private void learnRun(
      Order order,
      TargetState target,
      double millis,
      @Nullable LoadReport load,
      boolean waited,
      long now) {
    boolean known = target.knows(order.object());
    RouteRule route = order.route();
    if (waited) {
      runTimes.ranWithin(order.service(), route, known, millis);
      if (load != null) {
        double held = slotTimes.millis(order.service()).orElse(millis) * target.slowness();
        double wait = held * roundsBehind(target, load);
        runTimes.ranBehind(order.service(), route, known, Math.max(0, millis - wait));
      }
      return;
    }
    if (runTimes.measured(order.service(), route, known) >= FEWEST_FOR_USUAL) {
      target.ran(millis / runTimes.measuredMillis(order.service(), route, known));
    }
    runTimes.ran(order.service(), route, known, millis, now);
  }
}
