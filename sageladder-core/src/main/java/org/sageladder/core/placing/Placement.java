package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.PlacementDecision.CandidateEstimate;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
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
  private static final double AVOIDED_COST_MILLIS = 20_000;

  /** Waiting counted for a share of slots in use of 1, so that equals share the work. */
  private static final double FULL_LOAD_COST_MILLIS = 4;

  /**
   * Runs of a route before a target's speed is judged by their mean: about as many as count in the
   * speed. By the guess of a route just added, a target that is well seems slow or fast, and the
   * requests of all routes leave it or crowd it.
   */
  private static final int MIN_MEASURED_RUNS = 5;

  /** Least time until a refused caller is told to come back. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * A request that asks for a target.
   *
   * @param route its route
   * @param service the service whose turn it is
   * @param object hash of the object that it concerns; requests of no object have one each
   * @param remainingMillis time until it must be answered
   * @param workspace whose request it is, or null where the route needs no API key
   */
  public record PlacementRequest(
      RouteRule route,
      String service,
      long object,
      long remainingMillis,
      @Nullable Workspace workspace) {
    /** A request of no workspace. */
    public PlacementRequest(RouteRule route, String service, long object, long remainingMillis) {
      this(route, service, object, remainingMillis, null);
    }

    /** True where route and workspace both let the request run in {@code region}. */
    boolean allowsRegion(String region) {
      return route.allows(region) && (workspace == null || workspace.allows(region));
    }
  }

  /** What is worked out once for an order, whatever the target. */
  private record RequestContext(
      PlacementRequest request,
      PreferredTargets preferredTargets,
      double crossRegionCostFactor,
      double ownRegionCostMillis,
      double warmRunMillis,
      double coldRunMillis) {}

  private final TargetTable targets;
  private final RoundTripTimes roundTripTimes;
  private final RunTimes runTimes;
  private final SlotHoldTimes slotHoldTimes = SlotHoldTimes.create();
  private final ColdTargetLimiter coldLimiter;
  private final RegionShiftLimiter shiftLimiter;
  private final PlacementWeights weights;
  private final RegionObjectShare regionShare;

  private Placement(
      TargetTable targets,
      RoundTripTimes distances,
      RunTimes runTimes,
      ColdTargetLimiter cold,
      RegionShiftLimiter shift,
      PlacementWeights weights) {
    this.targets = targets;
    this.roundTripTimes = distances;
    this.runTimes = runTimes;
    this.coldLimiter = cold;
    this.shiftLimiter = shift;
    this.weights = weights;
    this.regionShare = RegionObjectShare.create(shift::settleMillis);
  }

  /** A choice among the targets of {@code targets}. */
  public static Placement among(
      TargetTable targets,
      RoundTripTimes distances,
      RunTimes runTimes,
      ColdTargetLimiter cold,
      RegionShiftLimiter shift,
      PlacementWeights weights) {
    return new Placement(targets, distances, runTimes, cold, shift, weights);
  }

  /**
   * Chooses a target, or says why none will do.
   *
   * @param tried ids of the targets that must not be chosen again
   */
  public PlacementDecision place(
      PlacementRequest order, @Nullable ServiceRule service, Set<String> tried, long now) {
    List<TargetState> usable = targets.usable(order.service(), now);
    usable.removeIf(target -> !order.allowsRegion(target.facts().region()));
    if (usable.isEmpty()) {
      return new Refuse(Reason.NO_TARGET, MIN_RETRY_AFTER_MILLIS, null);
    }
    RequestContext prospects = requestContext(order, usable, now);
    CheapestSend best = new CheapestSend();
    CheapestSend unmoved = new CheapestSend();
    Map<String, CheapestSend> ofRegions = new HashMap<>();
    boolean anyCold = false;
    for (TargetState target : usable) {
      if (tried.contains(target.facts().id())) {
        continue;
      }
      if (target.isCold(now) && !admitsColdRequest(target, service, now)) {
        anyCold = true;
        continue;
      }
      Send send = estimate(prospects, target, now);
      if (needsFirstRequest(target, prospects.preferredTargets(), now)) {
        return send;
      }
      // What the run costs those who come behind it. Not the wait: by that, queues at the targets
      // that know the object count for more, and work goes to those that run it three times as
      // long.
      double crowding = queueRoundsAhead(target, now) * send.expectedRunMillis();
      double cost = costMillis(prospects, send, now) + crowding;
      best.consider(send, cost);
      unmoved.consider(send, cost - crowding);
      ofRegions
          .computeIfAbsent(target.facts().region(), name -> new CheapestSend())
          .consider(send, cost);
    }
    return decide(order, limitShift(order, best, unmoved, ofRegions, now), anyCold, now);
  }

  /**
   * The best choice, or that of the region where the request would run if nothing waited anywhere:
   * where work moves to another region only since targets are crowded, all entry VMs move theirs at
   * the same moment.
   */
  private CheapestSend limitShift(
      PlacementRequest order,
      CheapestSend best,
      CheapestSend unmoved,
      Map<String, CheapestSend> ofRegions,
      long now) {
    Send wanted = best.send;
    Send home = unmoved.send;
    if (wanted == null || home == null) {
      return best;
    }
    String region = home.target().facts().region();
    boolean moved = !wanted.target().facts().region().equals(region);
    CheapestSend stays = ofRegions.getOrDefault(region, best);
    if (moved && !shiftLimiter.permitsShift(now) && stays.canAnswerInTime(order, now)) {
      shiftLimiter.recordPlaced(false, now);
      return stays;
    }
    shiftLimiter.recordPlaced(moved, now);
    return best;
  }

  /** The cheapest of the choices looked at. */
  private static final class CheapestSend {
    private @Nullable Send send;
    private double costMillis = Double.MAX_VALUE;

    void consider(Send other, double otherCost) {
      if (otherCost < costMillis) {
        send = other;
        costMillis = otherCost;
      }
    }

    /** True where it serves: the bound on shifts never costs a caller its answer. */
    boolean canAnswerInTime(PlacementRequest order, long now) {
      Send known = send;
      return known != null
          && known.expectedWaitMillis() + known.expectedRunMillis() <= order.remainingMillis()
          && !known.target().isAvoided(now);
    }
  }

  private PlacementDecision decide(
      PlacementRequest order, CheapestSend chosen, boolean anyCold, long now) {
    Send best = chosen.send;
    if (best == null) {
      return new Refuse(anyCold ? Reason.ALL_COLD : Reason.ALL_TRIED, MIN_RETRY_AFTER_MILLIS, null);
    }
    if (wouldTimeOut(order, best) && isWaitMeasured(order, best.target(), now)) {
      return new Refuse(
          Reason.TOO_LATE, (long) best.expectedWaitMillis(), candidateEstimate(order, best, now));
    }
    return best;
  }

  /**
   * True where a request that waits there would be cut off before its run ends, by runs that were
   * measured: its caller would wait for nothing, and the slot would work for nothing. Where a slot
   * is free it is tried in any case, since runs differ and nobody waits for that slot.
   */
  private boolean wouldTimeOut(PlacementRequest order, Send send) {
    double run =
        runTimes
                .estimateFromMeasured(
                    order.service(), order.route(), send.isWarm(), MIN_MEASURED_RUNS)
                .orElse(0)
            * send.target().slowness();
    return send.expectedWaitMillis() > 0
        && send.expectedWaitMillis() + run > order.remainingMillis();
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
  private boolean isWaitMeasured(PlacementRequest order, TargetState target, long now) {
    boolean queueKnown =
        target.inFlight() > 0 || target.hasReportWithin(order.route().timeoutMillis(), now);
    return queueKnown && slotHoldTimes.meanMillis(order.service()).isPresent();
  }

  private CandidateEstimate candidateEstimate(PlacementRequest order, Send send, long now) {
    long runs = runTimes.measuredRunCount(order.service(), order.route(), send.isWarm());
    double held = slotHoldTimes.meanMillis(order.service()).orElse(0);
    return new CandidateEstimate(send, held, send.target().load(now), runs);
  }

  /**
   * True where the target has joined lately and has had nothing from here, though it is its
   * region's first choice for the object. The targets before it know the object, so that by cost
   * alone it would stay without work for as long as they have room.
   */
  private boolean needsFirstRequest(TargetState target, PreferredTargets homes, long now) {
    return target.isNewlyJoined()
        && homes.isRegionPreferred(target)
        && !target.isAvoided(now)
        && !roundTripTimes.isOtherRegion(target.facts());
  }

  private boolean admitsColdRequest(TargetState target, @Nullable ServiceRule service, long now) {
    return service != null
        && coldLimiter.permits(target.facts(), service.maxColdRequestsPerSecond(), now);
  }

  private RequestContext requestContext(
      PlacementRequest order, List<TargetState> usable, long now) {
    RouteRule route = order.route();
    return new RequestContext(
        order,
        route.hasObjectAffinity()
            ? PreferredTargets.of(order.object(), usable)
            : PreferredTargets.none(),
        CrossRegionCostFactor.of(order.object()),
        ownRegionCostMillis(order, usable, now),
        runTimes.estimateMillis(order.service(), route, true),
        runTimes.estimateMillis(order.service(), route, false));
  }

  /** What a run in this VM's region costs besides: nothing for the objects that it keeps. */
  private double ownRegionCostMillis(PlacementRequest order, List<TargetState> usable, long now) {
    if (!order.route().hasObjectAffinity() || isRetainedInOwnRegion(order, now)) {
      return 0;
    }
    double nearest = Double.MAX_VALUE;
    for (TargetState target : usable) {
      if (roundTripTimes.isOtherRegion(target.facts())) {
        nearest = Math.min(nearest, roundTripTimes.millis(target.facts()));
      }
    }
    return nearest == Double.MAX_VALUE ? 0 : weights.roundTripFactor() * nearest;
  }

  private boolean isRetainedInOwnRegion(PlacementRequest order, long now) {
    String service = order.service();
    double slotShare = targets.slotShare(service, roundTripTimes.ownRegion());
    return regionShare.retains(
        order.object(), service, slotShare, targets.utilization(service), now);
  }

  /** Sets which share of all zones this VM's region has; until then it keeps all objects. */
  public void updateZoneShare(double part) {
    regionShare.updateZoneShare(part);
  }

  private Send estimate(RequestContext prospects, TargetState target, long now) {
    double knows = warmProbability(prospects, target);
    double mean = knows * prospects.warmRunMillis() + (1 - knows) * prospects.coldRunMillis();
    double run = mean * target.slowness();
    return new Send(
        target, knows >= 0.5, run, estimateWaitMillis(prospects.request(), target, mean, now));
  }

  /**
   * How long a request waits for a slot there. What stands ahead of it are requests of all routes
   * of the service: where its own run is a guess far above theirs, as that of a route just added, a
   * wait by its own run would keep it from targets that serve the others in time.
   */
  private double estimateWaitMillis(
      PlacementRequest order, TargetState target, double ownMillis, long now) {
    double held = slotHoldTimes.meanMillis(order.service()).orElse(ownMillis);
    return queueRoundsAhead(target, now) * held * target.slowness();
  }

  /** Requests ahead of one more that is sent there, for each slot; 0 where a slot is free. */
  private static double queueRoundsAhead(TargetState target, long now) {
    double over = target.load(now) + 1 - target.facts().slots();
    return Math.max(0, over / target.facts().slots());
  }

  private double warmProbability(RequestContext prospects, TargetState target) {
    boolean hadIt = target.hasCached(prospects.request().object());
    return hadIt ? 1 : prospects.preferredTargets().warmProbability(target, weights);
  }

  private double costMillis(RequestContext prospects, Send send, long now) {
    TargetState target = send.target();
    double cost = pathCostMillis(prospects, target);
    cost +=
        send.isWarm()
            ? send.expectedRunMillis()
            : send.expectedRunMillis() * weights.coldRunFactor();
    cost += FULL_LOAD_COST_MILLIS * target.load(now) / target.facts().slots();
    cost += weights.failureCostMillis() * target.failureShare(now);
    return target.isAvoided(now) ? cost + AVOIDED_COST_MILLIS : cost;
  }

  /** What the network path to a target counts as: its time, and what the bytes on it are worth. */
  private double pathCostMillis(RequestContext prospects, TargetState target) {
    double path = weights.roundTripFactor() * roundTripTimes.millis(target.facts());
    if (roundTripTimes.isOtherRegion(target.facts())) {
      // By a guessed path no object leaves its region sooner than others.
      double price =
          roundTripTimes.isMeasured(target.facts()) ? prospects.crossRegionCostFactor() : 1;
      return price * (path + weights.crossRegionCostMillis());
    }
    path += prospects.ownRegionCostMillis();
    return roundTripTimes.isOtherZone(target.facts()) ? path + weights.crossZoneCostMillis() : path;
  }

  /** Notes that a request was sent as decided. */
  public void recordSent(Send send, long now) {
    send.target().startRequest();
    if (send.target().isCold(now)) {
      coldLimiter.recordSent(send.target().facts(), now);
    }
  }

  /**
   * Learns from an answer.
   *
   * @param millis from sending to the end of the answer
   * @param load what the target reported of its load, or null
   */
  public void recordAnswer(
      PlacementRequest order, Send send, double millis, @Nullable LoadReport load, long now) {
    TargetState target = send.target();
    target.clearAvoidance();
    target.recordOutcome(true, now);
    boolean waited = load == null ? send.expectedWaitMillis() > 0 : load.waiting() > 0;
    double run = millis - roundTripTimes.millis(target.facts());
    if (run > 0 && !target.isCold(now)) {
      recordSlotHoldTime(order, target, run, load, waited);
      recordRunTime(order, target, run, load, waited, now);
    }
    target.recordObject(order.object());
  }

  private void recordSlotHoldTime(
      PlacementRequest order,
      TargetState target,
      double millis,
      @Nullable LoadReport load,
      boolean waited) {
    if (load == null && waited) {
      return;
    }
    double rounds = load == null ? 0 : queueRoundsBehind(target, load);
    slotHoldTimes.recordAnswer(order.service(), millis / target.slowness(), rounds);
  }

  /** Requests that waited there behind an answer, for each slot. */
  private static double queueRoundsBehind(TargetState target, LoadReport load) {
    return Math.max(0.0, load.waiting()) / target.facts().slots();
  }

  private void recordRunTime(
      PlacementRequest order,
      TargetState target,
      double millis,
      @Nullable LoadReport load,
      boolean waited,
      long now) {
    boolean known = target.hasCached(order.object());
    RouteRule route = order.route();
    if (waited) {
      runTimes.recordWaitAndRun(order.service(), route, known, millis);
      if (load != null) {
        double held = slotHoldTimes.meanMillis(order.service()).orElse(millis) * target.slowness();
        double wait = held * queueRoundsBehind(target, load);
        runTimes.recordQueuedRun(order.service(), route, known, Math.max(0, millis - wait));
      }
      return;
    }
    if (runTimes.measuredRunCount(order.service(), route, known) >= MIN_MEASURED_RUNS) {
      target.recordRunTimeRatio(millis / runTimes.measuredMillis(order.service(), route, known));
    }
    runTimes.recordRun(order.service(), route, known, millis, now);
  }
}
