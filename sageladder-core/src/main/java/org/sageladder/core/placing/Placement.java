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
      RoundTripTimes roundTripTimes,
      RunTimes runTimes,
      ColdTargetLimiter coldLimiter,
      RegionShiftLimiter shiftLimiter,
      PlacementWeights weights) {
    this.targets = targets;
    this.roundTripTimes = roundTripTimes;
    this.runTimes = runTimes;
    this.coldLimiter = coldLimiter;
    this.shiftLimiter = shiftLimiter;
    this.weights = weights;
    this.regionShare = RegionObjectShare.create(shiftLimiter::settleMillis);
  }

  /** A choice among the targets of {@code targets}. */
  public static Placement among(
      TargetTable targets,
      RoundTripTimes roundTripTimes,
      RunTimes runTimes,
      ColdTargetLimiter coldLimiter,
      RegionShiftLimiter shiftLimiter,
      PlacementWeights weights) {
    return new Placement(targets, roundTripTimes, runTimes, coldLimiter, shiftLimiter, weights);
  }

  /**
   * Chooses a target, or says why none will do.
   *
   * @param tried ids of the targets that must not be chosen again
   */
  public PlacementDecision place(
      PlacementRequest request, @Nullable ServiceRule service, Set<String> tried, long now) {
    List<TargetState> usable = targets.usable(request.service(), now);
    usable.removeIf(target -> !request.allowsRegion(target.facts().region()));
    if (usable.isEmpty()) {
      return new Refuse(Reason.NO_TARGET, MIN_RETRY_AFTER_MILLIS, null);
    }
    RequestContext context = requestContext(request, usable, now);
    CheapestSend best = new CheapestSend();
    CheapestSend bestWithoutQueues = new CheapestSend();
    Map<String, CheapestSend> bestByRegion = new HashMap<>();
    boolean anyCold = false;
    for (TargetState target : usable) {
      if (tried.contains(target.facts().id())) {
        continue;
      }
      if (target.isCold(now) && !admitsColdRequest(target, service, now)) {
        anyCold = true;
        continue;
      }
      Send send = estimate(context, target, now);
      if (needsFirstRequest(target, context.preferredTargets(), now)) {
        return send;
      }
      // What the run costs those who come behind it. Not the wait: by that, queues at the targets
      // that know the object count for more, and work goes to those that run it three times as
      // long.
      double queueCostMillis = queueRoundsAhead(target, now) * send.expectedRunMillis();
      double costMillis = costMillis(context, send, now) + queueCostMillis;
      best.consider(send, costMillis);
      bestWithoutQueues.consider(send, costMillis - queueCostMillis);
      bestByRegion
          .computeIfAbsent(target.facts().region(), name -> new CheapestSend())
          .consider(send, costMillis);
    }
    return decide(
        request, limitShift(request, best, bestWithoutQueues, bestByRegion, now), anyCold, now);
  }

  /**
   * The best choice, or that of the region where the request would run if nothing waited anywhere:
   * where work moves to another region only since targets are crowded, all entry VMs move theirs at
   * the same moment.
   */
  private CheapestSend limitShift(
      PlacementRequest request,
      CheapestSend best,
      CheapestSend bestWithoutQueues,
      Map<String, CheapestSend> bestByRegion,
      long now) {
    Send cheapest = best.send;
    Send unqueued = bestWithoutQueues.send;
    if (cheapest == null || unqueued == null) {
      return best;
    }
    String region = unqueued.target().facts().region();
    boolean isShifted = !cheapest.target().facts().region().equals(region);
    CheapestSend bestInRegion = bestByRegion.getOrDefault(region, best);
    if (isShifted
        && !shiftLimiter.permitsShift(now)
        && bestInRegion.canAnswerInTime(request, now)) {
      shiftLimiter.recordPlaced(false, now);
      return bestInRegion;
    }
    shiftLimiter.recordPlaced(isShifted, now);
    return best;
  }

  /** The cheapest of the choices looked at. */
  private static final class CheapestSend {
    private @Nullable Send send;
    private double costMillis = Double.MAX_VALUE;

    void consider(Send other, double otherCostMillis) {
      if (otherCostMillis < costMillis) {
        send = other;
        costMillis = otherCostMillis;
      }
    }

    /** True where it serves: the bound on shifts never costs a caller its answer. */
    boolean canAnswerInTime(PlacementRequest request, long now) {
      Send current = send;
      return current != null
          && current.expectedWaitMillis() + current.expectedRunMillis() <= request.remainingMillis()
          && !current.target().isAvoided(now);
    }
  }

  private PlacementDecision decide(
      PlacementRequest request, CheapestSend chosen, boolean anyCold, long now) {
    Send best = chosen.send;
    if (best == null) {
      return new Refuse(anyCold ? Reason.ALL_COLD : Reason.ALL_TRIED, MIN_RETRY_AFTER_MILLIS, null);
    }
    if (wouldTimeOut(request, best) && isWaitMeasured(request, best.target(), now)) {
      return new Refuse(
          Reason.TOO_LATE, (long) best.expectedWaitMillis(), candidateEstimate(request, best, now));
    }
    return best;
  }

  /**
   * True where a request that waits there would be cut off before its run ends, by runs that were
   * measured: its caller would wait for nothing, and the slot would work for nothing. Where a slot
   * is free it is tried in any case, since runs differ and nobody waits for that slot.
   */
  private boolean wouldTimeOut(PlacementRequest request, Send send) {
    double runMillis =
        runTimes
                .estimateFromMeasured(
                    request.service(), request.route(), send.isWarm(), MIN_MEASURED_RUNS)
                .orElse(0)
            * send.target().slowness();
    return send.expectedWaitMillis() > 0
        && send.expectedWaitMillis() + runMillis > request.remainingMillis();
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
  private boolean isWaitMeasured(PlacementRequest request, TargetState target, long now) {
    boolean isQueueKnown =
        target.inFlight() > 0 || target.hasReportWithin(request.route().timeoutMillis(), now);
    return isQueueKnown && slotHoldTimes.meanMillis(request.service()).isPresent();
  }

  private CandidateEstimate candidateEstimate(PlacementRequest request, Send send, long now) {
    long runs = runTimes.measuredRunCount(request.service(), request.route(), send.isWarm());
    double slotHoldMillis = slotHoldTimes.meanMillis(request.service()).orElse(0);
    return new CandidateEstimate(send, slotHoldMillis, send.target().load(now), runs);
  }

  /**
   * True where the target has joined lately and has had nothing from here, though it is its
   * region's first choice for the object. The targets before it know the object, so that by cost
   * alone it would stay without work for as long as they have room.
   */
  private boolean needsFirstRequest(
      TargetState target, PreferredTargets preferredTargets, long now) {
    return target.isNewlyJoined()
        && preferredTargets.isRegionPreferred(target)
        && !target.isAvoided(now)
        && !roundTripTimes.isOtherRegion(target.facts());
  }

  private boolean admitsColdRequest(TargetState target, @Nullable ServiceRule service, long now) {
    return service != null
        && coldLimiter.permits(target.facts(), service.maxColdRequestsPerSecond(), now);
  }

  private RequestContext requestContext(
      PlacementRequest request, List<TargetState> usable, long now) {
    RouteRule route = request.route();
    return new RequestContext(
        request,
        route.hasObjectAffinity()
            ? PreferredTargets.of(request.object(), usable)
            : PreferredTargets.none(),
        CrossRegionCostFactor.of(request.object()),
        ownRegionCostMillis(request, usable, now),
        runTimes.estimateMillis(request.service(), route, true),
        runTimes.estimateMillis(request.service(), route, false));
  }

  /** What a run in this VM's region costs besides: nothing for the objects that it keeps. */
  private double ownRegionCostMillis(PlacementRequest request, List<TargetState> usable, long now) {
    if (!request.route().hasObjectAffinity() || isRetainedInOwnRegion(request, now)) {
      return 0;
    }
    double minRoundTripMillis = Double.MAX_VALUE;
    for (TargetState target : usable) {
      if (roundTripTimes.isOtherRegion(target.facts())) {
        minRoundTripMillis = Math.min(minRoundTripMillis, roundTripTimes.millis(target.facts()));
      }
    }
    return minRoundTripMillis == Double.MAX_VALUE
        ? 0
        : weights.roundTripFactor() * minRoundTripMillis;
  }

  private boolean isRetainedInOwnRegion(PlacementRequest request, long now) {
    String service = request.service();
    double slotShare = targets.slotShare(service, roundTripTimes.ownRegion());
    return regionShare.retains(
        request.object(), service, slotShare, targets.utilization(service), now);
  }

  /** Sets which share of all zones this VM's region has; until then it keeps all objects. */
  public void updateZoneShare(double zoneShare) {
    regionShare.updateZoneShare(zoneShare);
  }

  private Send estimate(RequestContext context, TargetState target, long now) {
    double warmProbability = warmProbability(context, target);
    double meanRunMillis =
        warmProbability * context.warmRunMillis() + (1 - warmProbability) * context.coldRunMillis();
    double expectedRunMillis = meanRunMillis * target.slowness();
    return new Send(
        target,
        warmProbability >= 0.5,
        expectedRunMillis,
        estimateWaitMillis(context.request(), target, meanRunMillis, now));
  }

  /**
   * How long a request waits for a slot there. What stands ahead of it are requests of all routes
   * of the service: where its own run is a guess far above theirs, as that of a route just added, a
   * wait by its own run would keep it from targets that serve the others in time.
   */
  private double estimateWaitMillis(
      PlacementRequest request, TargetState target, double ownRunMillis, long now) {
    double slotHoldMillis = slotHoldTimes.meanMillis(request.service()).orElse(ownRunMillis);
    return queueRoundsAhead(target, now) * slotHoldMillis * target.slowness();
  }

  /** Requests ahead of one more that is sent there, for each slot; 0 where a slot is free. */
  private static double queueRoundsAhead(TargetState target, long now) {
    double excessRequests = target.load(now) + 1 - target.facts().slots();
    return Math.max(0, excessRequests / target.facts().slots());
  }

  private double warmProbability(RequestContext context, TargetState target) {
    boolean hasCached = target.hasCached(context.request().object());
    return hasCached ? 1 : context.preferredTargets().warmProbability(target, weights);
  }

  private double costMillis(RequestContext context, Send send, long now) {
    TargetState target = send.target();
    double costMillis = pathCostMillis(context, target);
    costMillis +=
        send.isWarm()
            ? send.expectedRunMillis()
            : send.expectedRunMillis() * weights.coldRunFactor();
    costMillis += FULL_LOAD_COST_MILLIS * target.load(now) / target.facts().slots();
    costMillis += weights.failureCostMillis() * target.failureShare(now);
    return target.isAvoided(now) ? costMillis + AVOIDED_COST_MILLIS : costMillis;
  }

  /** What the network path to a target counts as: its time, and what the bytes on it are worth. */
  private double pathCostMillis(RequestContext context, TargetState target) {
    double costMillis = weights.roundTripFactor() * roundTripTimes.millis(target.facts());
    if (roundTripTimes.isOtherRegion(target.facts())) {
      // By a guessed path no object leaves its region sooner than others.
      double factor =
          roundTripTimes.isMeasured(target.facts()) ? context.crossRegionCostFactor() : 1;
      return factor * (costMillis + weights.crossRegionCostMillis());
    }
    costMillis += context.ownRegionCostMillis();
    return roundTripTimes.isOtherZone(target.facts())
        ? costMillis + weights.crossZoneCostMillis()
        : costMillis;
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
      PlacementRequest request, Send send, double millis, @Nullable LoadReport load, long now) {
    TargetState target = send.target();
    target.clearAvoidance();
    target.recordOutcome(true, now);
    boolean wasQueued = load == null ? send.expectedWaitMillis() > 0 : load.waiting() > 0;
    double runMillis = millis - roundTripTimes.millis(target.facts());
    if (runMillis > 0 && !target.isCold(now)) {
      recordSlotHoldTime(request, target, runMillis, load, wasQueued);
      recordRunTime(request, target, runMillis, load, wasQueued, now);
    }
    target.recordObject(request.object());
  }

  private void recordSlotHoldTime(
      PlacementRequest request,
      TargetState target,
      double millis,
      @Nullable LoadReport load,
      boolean wasQueued) {
    if (load == null && wasQueued) {
      return;
    }
    double queueRounds = load == null ? 0 : queueRoundsBehind(target, load);
    slotHoldTimes.recordAnswer(request.service(), millis / target.slowness(), queueRounds);
  }

  /** Requests that waited there behind an answer, for each slot. */
  private static double queueRoundsBehind(TargetState target, LoadReport load) {
    return Math.max(0.0, load.waiting()) / target.facts().slots();
  }

  private void recordRunTime(
      PlacementRequest request,
      TargetState target,
      double millis,
      @Nullable LoadReport load,
      boolean wasQueued,
      long now) {
    boolean isWarm = target.hasCached(request.object());
    RouteRule route = request.route();
    if (wasQueued) {
      runTimes.recordWaitAndRun(request.service(), route, isWarm, millis);
      if (load != null) {
        double slotHoldMillis =
            slotHoldTimes.meanMillis(request.service()).orElse(millis) * target.slowness();
        double waitMillis = slotHoldMillis * queueRoundsBehind(target, load);
        runTimes.recordQueuedRun(
            request.service(), route, isWarm, Math.max(0, millis - waitMillis));
      }
      return;
    }
    if (runTimes.measuredRunCount(request.service(), route, isWarm) >= MIN_MEASURED_RUNS) {
      target.recordRunTimeRatio(millis / runTimes.measuredMillis(request.service(), route, isWarm));
    }
    runTimes.recordRun(request.service(), route, isWarm, millis, now);
  }
}
