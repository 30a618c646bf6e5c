package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.overload.AdaptiveAdmission;
import org.sageladder.core.overload.AdmissionPolicy;
import org.sageladder.core.placing.PlacementDecision.CandidateEstimate;
import org.sageladder.core.placing.PlacementDecision.Reason;
import org.sageladder.core.placing.PlacementDecision.Refuse;
import org.sageladder.core.placing.PlacementDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;
import org.sageladder.core.routing.Workspace;

/**
 * Chooses the target with the earliest expected completion, including the delay that the run causes
 * to other requests.
 *
 * <p>A target that has handled an object before runs it in about a third of the time, and there are
 * too few slots to run most requests on targets that are cold for their object. Each object
 * therefore has a preferred target among all targets and one in each region. These are chosen by
 * rendezvous hashing, so that all entry VMs agree without communication and few objects change
 * target when targets are added or removed. A request goes where queue wait, round-trip time and
 * run time together are shortest: to the preferred target of all if its round-trip time is short,
 * otherwise to that of its own region, and to other targets as these fill up.
 *
 * <pre>{@code
 * PlacementDecision decision = placement.place(request, rule, Set.of(), now);
 * if (decision instanceof PlacementDecision.Send send) { ... }
 * }</pre>
 */
public final class Placement {
  /** Cost of a target that is to be avoided: more than any latency goal. */
  private static final double AVOIDED_COST_MILLIS = 20_000;

  /**
   * Cost of a target whose slots are all in use, in proportion for fewer, so that otherwise equal
   * targets share the load.
   */
  private static final double FULL_LOAD_COST_MILLIS = 4;

  /**
   * Minimum number of measured runs of a route before their mean is used to judge a target's
   * slowness: about as many as the slowness averages over. Judged by the default estimate of a new
   * route, a healthy target would seem slow or fast, and the requests of all routes would avoid it
   * or overload it.
   */
  private static final int MIN_MEASURED_RUNS = 5;

  /** Minimum retry-after time of a refused request. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * A request for which a target is to be chosen.
   *
   * @param route its route
   * @param service the service to which this request is assigned
   * @param object hash of the object that it concerns; a request without an object has a value of
   *     its own
   * @param remainingMillis time left until its deadline
   * @param workspace the workspace that sent it, or null where the route needs no API key
   */
  public record PlacementRequest(
      RouteRule route,
      String service,
      long object,
      long remainingMillis,
      @Nullable Workspace workspace) {
    /** A request without a workspace. */
    public PlacementRequest(RouteRule route, String service, long object, long remainingMillis) {
      this(route, service, object, remainingMillis, null);
    }

    /**
     * Returns true if both the route and the workspace allow the request to run in {@code region}.
     */
    public boolean allowsRegion(String region) {
      return route.allows(region) && (workspace == null || workspace.allows(region));
    }

    /** Returns the priority of the workspace, or else that of the route. */
    int priority() {
      return workspace == null ? route.priority() : workspace.priority().orElse(route.priority());
    }
  }

  /** Values of a request that are the same for all targets, computed once. */
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
  private final TargetRateLimiter rateLimiter;
  private final RegionShiftLimiter shiftLimiter;
  private final PlacementWeights weights;
  private final RegionObjectShare regionShare;
  private final AdaptiveAdmission admission = AdaptiveAdmission.create();

  private Placement(
      TargetTable targets,
      RoundTripTimes roundTripTimes,
      RunTimes runTimes,
      ColdTargetLimiter coldLimiter,
      TargetRateLimiter rateLimiter,
      RegionShiftLimiter shiftLimiter,
      PlacementWeights weights) {
    this.targets = targets;
    this.roundTripTimes = roundTripTimes;
    this.runTimes = runTimes;
    this.coldLimiter = coldLimiter;
    this.rateLimiter = rateLimiter;
    this.shiftLimiter = shiftLimiter;
    this.weights = weights;
    this.regionShare = RegionObjectShare.create(shiftLimiter::settleMillis);
  }

  /** Creates a placement among the targets of {@code targets}. */
  public static Placement among(
      TargetTable targets,
      RoundTripTimes roundTripTimes,
      RunTimes runTimes,
      ColdTargetLimiter coldLimiter,
      TargetRateLimiter rateLimiter,
      RegionShiftLimiter shiftLimiter,
      PlacementWeights weights) {
    return new Placement(
        targets, roundTripTimes, runTimes, coldLimiter, rateLimiter, shiftLimiter, weights);
  }

  /**
   * Chooses a target, or returns the reason why there is none.
   *
   * @param tried ids of the targets that must not be chosen again
   */
  public PlacementDecision place(
      PlacementRequest request, @Nullable ServiceRule service, Set<String> tried, long now) {
    List<TargetState> usable = targets.usable(request.service(), now);
    usable.removeIf(target -> !request.allowsRegion(target.facts().region()));
    if (usable.isEmpty()) {
      return refuseWithoutTarget(request, now);
    }
    RequestContext context = requestContext(request, usable, now);
    CheapestSend best = new CheapestSend();
    CheapestSend bestWithoutQueues = new CheapestSend();
    Map<String, CheapestSend> bestByRegion = new HashMap<>();
    Exclusions exclusions = new Exclusions();
    for (TargetState target : usable) {
      if (tried.contains(target.facts().id())) {
        continue;
      }
      if (target.isCold(now) && !admitsColdRequest(target, service, now)) {
        exclusions.anyCold = true;
        continue;
      }
      long permittedInMillis = rateLimiter.permittedInMillis(target.facts(), now);
      if (permittedInMillis > 0) {
        exclusions.addLimited(permittedInMillis);
        continue;
      }
      Send send = estimate(context, target, now);
      if (needsFirstRequest(target, context.preferredTargets(), now)) {
        return send;
      }
      // Delay that the run adds to the requests queued behind it. The expected wait is left out: it
      // would weigh queues at warm targets more heavily and send work to cold targets, which take
      // three times as long to run it.
      double queueCostMillis = queueRoundsAhead(target, now) * send.expectedRunMillis();
      double costMillis = costMillis(context, send, now) + queueCostMillis;
      best.consider(send, costMillis);
      bestWithoutQueues.consider(send, costMillis - queueCostMillis);
      bestByRegion
          .computeIfAbsent(target.facts().region(), name -> new CheapestSend())
          .consider(send, costMillis);
    }
    CheapestSend chosen = limitShift(request, best, bestWithoutQueues, bestByRegion, now);
    PlacementDecision decision = decide(request, chosen, exclusions, !tried.isEmpty(), now);
    if (decision instanceof Send sent && bestWithoutQueues.send != null) {
      shiftLimiter.recordPlaced(!isInSameRegion(sent, bestWithoutQueues.send), now);
    }
    return decision;
  }

  /** Which requests are refused under overload. */
  public AdaptiveAdmission admission() {
    return admission;
  }

  private Refuse refuseWithoutTarget(PlacementRequest request, long now) {
    OptionalLong backOffMillis =
        targets.firstBackOffMillis(request.service(), request::allowsRegion, now);
    return backOffMillis.isEmpty()
        ? new Refuse(Reason.NO_TARGET, MIN_RETRY_AFTER_MILLIS, null)
        : new Refuse(
            Reason.ALL_BACKED_OFF,
            Math.max(MIN_RETRY_AFTER_MILLIS, backOffMillis.getAsLong()),
            null);
  }

  /**
   * Returns the cheapest target if the shift limit permits it. Otherwise returns the cheapest one
   * in the region that would be chosen if all queues were empty. The limit is needed because all
   * entry VMs would move their requests at the same moment when the targets of a region are
   * overloaded.
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
    CheapestSend bestInRegion = bestByRegion.getOrDefault(region, best);
    boolean staysInRegion =
        !isInSameRegion(cheapest, unqueued)
            && !shiftLimiter.permitsShift(now)
            && bestInRegion.canAnswerInTime(request, now);
    return staysInRegion ? bestInRegion : best;
  }

  private static boolean isInSameRegion(Send first, Send second) {
    return first.target().facts().region().equals(second.target().facts().region());
  }

  /** Why targets that accept requests were left out. */
  private static final class Exclusions {
    private boolean anyCold;
    private long limitedForMillis = Long.MAX_VALUE;

    void addLimited(long permittedInMillis) {
      limitedForMillis = Math.min(limitedForMillis, permittedInMillis);
    }

    Refuse refusal() {
      if (anyCold) {
        return new Refuse(Reason.ALL_COLD, MIN_RETRY_AFTER_MILLIS, null);
      }
      if (limitedForMillis < Long.MAX_VALUE) {
        long retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, limitedForMillis);
        return new Refuse(Reason.ALL_LIMITED, retryAfterMillis, null);
      }
      return new Refuse(Reason.ALL_TRIED, MIN_RETRY_AFTER_MILLIS, null);
    }
  }

  /** The cheapest of the targets considered. */
  private static final class CheapestSend {
    private @Nullable Send send;
    private double costMillis = Double.MAX_VALUE;

    void consider(Send other, double otherCostMillis) {
      if (otherCostMillis < costMillis) {
        send = other;
        costMillis = otherCostMillis;
      }
    }

    /**
     * Returns true if the request is expected to end before its deadline: the shift limit must
     * never make a request fail.
     */
    boolean canAnswerInTime(PlacementRequest request, long now) {
      Send current = send;
      return current != null
          && current.expectedWaitMillis() + current.expectedRunMillis() <= request.remainingMillis()
          && !current.target().isAvoided(now);
    }
  }

  private PlacementDecision decide(
      PlacementRequest request,
      CheapestSend chosen,
      Exclusions exclusions,
      boolean isRetry,
      long now) {
    Send best = chosen.send;
    if (best == null) {
      return exclusions.refusal();
    }
    if (!isWaitMeasured(request, best.target(), now)) {
      return best;
    }
    if (wouldTimeOut(request, best)) {
      return new Refuse(
          Reason.TOO_LATE, (long) best.expectedWaitMillis(), candidateEstimate(request, best, now));
    }
    AdmissionPolicy.Verdict verdict =
        admission.judge(admissionCandidate(request, best, isRetry, now), now);
    return verdict instanceof AdmissionPolicy.Verdict.Refuse refuse
        ? new Refuse(
            Reason.OVERLOAD,
            refuse.retryAfterMillis(),
            candidateEstimate(request, best, now),
            refuse.overload())
        : best;
  }

  private AdmissionPolicy.Candidate admissionCandidate(
      PlacementRequest request, Send best, boolean isRetry, long now) {
    return new AdmissionPolicy.Candidate(
        request.route(),
        request.service(),
        request.priority(),
        isRetry,
        best.expectedWaitMillis(),
        best.expectedRunMillis(),
        slotHoldTimes.meanMillis(request.service()).orElse(0),
        targets.measuredLoad(request.service(), now));
  }

  /**
   * Returns true if a request that waits at the target would time out before its run ends, by
   * measured run times: the caller would wait in vain and the slot would do useless work. If a slot
   * is free the request is always tried, since run times vary and no other request waits for that
   * slot.
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
   * Returns true if the expected wait is based on measurements. An entry VM that was started under
   * heavy load has no answer yet; by default estimates it would refuse requests that its targets
   * could serve. Full targets refuse requests themselves.
   *
   * <p>The queue length must have been reported within the route's timeout, or requests of this
   * entry VM that will report it must be in flight. If all VMs refused by older reports, no request
   * would be sent and no newer report received, and an idle service would be refused indefinitely.
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
   * Returns true if the target has newly joined and has had no request from this entry VM although
   * it is its region's preferred target for the object. The older targets are warm for the object,
   * so that by cost alone the new one would stay idle as long as they have free slots.
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
            ? PreferredTargets.of(request.object(), permitted(usable, now))
            : PreferredTargets.none(),
        CrossRegionCostFactor.of(request.object()),
        ownRegionCostMillis(request, usable, now),
        runTimes.estimateMillis(request.service(), route, true),
        runTimes.estimateMillis(request.service(), route, false));
  }

  /**
   * Returns the targets to which this VM may send a request now, or all if there are none. An
   * object whose preferred target may get none goes to the next one, on which all VMs agree,
   * instead of to any other, which would be cold for it.
   */
  private List<TargetState> permitted(List<TargetState> usable, long now) {
    List<TargetState> permitted =
        usable.stream().filter(target -> rateLimiter.permits(target.facts(), now)).toList();
    return permitted.isEmpty() ? usable : permitted;
  }

  /**
   * Returns the additional cost of a run in this entry VM's region: 0 for the objects that the
   * region retains.
   */
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
    double slotShare = targets.slotShare(service, roundTripTimes.ownRegion(), now);
    return regionShare.retains(
        request.object(), service, slotShare, targets.utilization(service, now), now);
  }

  /**
   * Sets the fraction of all zones that are in this entry VM's region. Until the first call the
   * region retains all objects.
   */
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
   * Returns the expected wait for a slot. The requests ahead in the queue belong to all routes of
   * the service. If the wait were computed from the request's own run time, and that is a default
   * estimate far above the others, as for a new route, the request would be kept from targets that
   * serve the other routes in time.
   */
  private double estimateWaitMillis(
      PlacementRequest request, TargetState target, double ownRunMillis, long now) {
    double slotHoldMillis = slotHoldTimes.meanMillis(request.service()).orElse(ownRunMillis);
    return queueRoundsAhead(target, now) * slotHoldMillis * target.slowness();
  }

  /** Returns the requests ahead of one more that is sent there, per slot; 0 if a slot is free. */
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

  /** Returns the cost of the network path to a target: its round-trip time and its traffic cost. */
  private double pathCostMillis(RequestContext context, TargetState target) {
    double costMillis = weights.roundTripFactor() * roundTripTimes.millis(target.facts());
    if (roundTripTimes.isOtherRegion(target.facts())) {
      // With a default round-trip time the factor is the same for all objects, so that none leaves
      // its region earlier than others.
      double factor =
          roundTripTimes.isMeasured(target.facts()) ? context.crossRegionCostFactor() : 1;
      return factor * (costMillis + weights.crossRegionCostMillis());
    }
    costMillis += context.ownRegionCostMillis();
    return roundTripTimes.isOtherZone(target.facts())
        ? costMillis + weights.crossZoneCostMillis()
        : costMillis;
  }

  /** Records that a request was sent as decided. */
  public void recordSent(Send send, long now) {
    send.target().startRequest();
    if (send.target().isCold(now)) {
      coldLimiter.recordSent(send.target().facts(), now);
    }
    rateLimiter.recordSent(send.target().facts(), now);
  }

  /**
   * Updates the estimates from an answer.
   *
   * @param millis from sending to the end of the answer
   * @param load the load that the target reported, or null
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

  /** Returns the requests that waited in the queue behind the answered request, per slot. */
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
