package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.PlacingDecision.Reason;
import org.sageladder.core.placing.PlacingDecision.Refuse;
import org.sageladder.core.placing.PlacingDecision.Send;
import org.sageladder.core.routing.RouteRule;
import org.sageladder.core.routing.ServiceRule;

/**
 * Chooses the target on which a request ends soonest, counting what its run costs the others.
 *
 * <p>A target that has handled an object runs it in about a third of the time, and slots are too
 * few for work on unknown objects. So each object has a first choice in each region, by rendezvous
 * hashing, which all entry VMs agree on without talking and which moves little when targets come
 * and go. A request goes to the first choice of its own region while that has a free slot, then to
 * wherever waiting, way and run together are shortest: mostly the first choice of a near region,
 * which knows the object from its own callers.
 *
 * <pre>{@code
 * PlacingDecision decision = placement.place(order, Set.of(), now);
 * if (decision instanceof PlacingDecision.Send send) { ... }
 * }</pre>
 */
public final class Placement {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  /** What a target that is to be avoided counts as, in waiting: more than any goal. */
  private static final double AVOIDED_MILLIS = 20_000;

  /** Waiting counted for a share of slots in use of 1, so that equals share the work. */
  private static final double CROWDED_MILLIS = 4;

  /** Least time until a refused caller is told to come back. */
  private static final long LEAST_RETRY_MILLIS = 100;

  /**
   * A request that asks for a target.
   *
   * @param route its route
   * @param service the service whose turn it is
   * @param object hash of the object that it concerns; requests of no object have one each
   * @param millisLeft time until it must be answered
   */
  public record Order(RouteRule route, String service, long object, long millisLeft) {}

  private record Choices(@Nullable TargetState first, @Nullable TargetState second) {}

  private final TargetTable targets;
  private final Distances distances;
  private final RunTimes runTimes;
  private final ColdAllowance cold;
  private final PlacingWeights weights;

  private Placement(
      TargetTable targets,
      Distances distances,
      RunTimes runTimes,
      ColdAllowance cold,
      PlacingWeights weights) {
    this.targets = targets;
    this.distances = distances;
    this.runTimes = runTimes;
    this.cold = cold;
    this.weights = weights;
  }

  /** A choice among the targets of {@code targets}. */
  public static Placement among(
      TargetTable targets,
      Distances distances,
      RunTimes runTimes,
      ColdAllowance cold,
      PlacingWeights weights) {
    return new Placement(targets, distances, runTimes, cold, weights);
  }

  /**
   * Chooses a target, or says why none will do.
   *
   * @param tried ids of the targets that must not be chosen again
   */
  public PlacingDecision place(
      Order order, @Nullable ServiceRule service, Set<String> tried, long now) {
    List<TargetState> usable = targets.usable(order.service(), now);
    usable.removeIf(target -> !order.route().allows(target.facts().region()));
    if (usable.isEmpty()) {
      return new Refuse(Reason.NO_TARGET, LEAST_RETRY_MILLIS);
    }
    Map<String, Choices> choices = order.route().byObject() ? choices(order, usable) : Map.of();
    @Nullable TargetState home = home(order, choices);
    Send best = null;
    double least = Double.MAX_VALUE;
    boolean anyCold = false;
    for (TargetState target : usable) {
      if (tried.contains(target.facts().id())) {
        continue;
      }
      if (target.isCold(now) && !bears(target, service, now)) {
        anyCold = true;
        continue;
      }
      Choices ofRegion = choices.get(target.facts().region());
      Send send = estimate(order, target, home, ofRegion, now);
      if (isToBeIntroduced(target, ofRegion, now)) {
        return send;
      }
      double cost = cost(send, now);
      if (cost < least) {
        least = cost;
        best = send;
      }
    }
    if (best == null) {
      return new Refuse(anyCold ? Reason.ALL_COLD : Reason.ALL_TRIED, LEAST_RETRY_MILLIS);
    }
    if (best.waitMillis() > order.millisLeft()) {
      return new Refuse(Reason.TOO_LATE, (long) best.waitMillis());
    }
    return best;
  }

  /**
   * True where the target has joined lately and has had nothing from here, though it is its
   * region's first choice for the object. The targets before it know the object, so that by cost
   * alone it would stay without work for as long as they have room.
   */
  private boolean isToBeIntroduced(TargetState target, @Nullable Choices ofRegion, long now) {
    return target.isNewcomer()
        && ofRegion != null
        && ofRegion.first() == target
        && !target.isAvoided(now)
        && !distances.isOtherRegion(target.facts());
  }

  private boolean bears(TargetState target, @Nullable ServiceRule service, long now) {
    return service != null && cold.permits(target.facts(), service.coldPerSecond(), now);
  }

  /** The first two targets of each region for the object, among all that take work. */
  private static Map<String, Choices> choices(Order order, List<TargetState> usable) {
    Map<String, Choices> best = new HashMap<>();
    for (TargetState target : usable) {
      best.merge(
          target.facts().region(),
          new Choices(target, null),
          (known, fresh) -> better(order.object(), known, target));
    }
    return best;
  }

  /** The first target of all for the object. */
  private static @Nullable TargetState home(Order order, Map<String, Choices> choices) {
    TargetState home = null;
    for (Choices ofRegion : choices.values()) {
      TargetState first = ofRegion.first();
      if (first != null
          && (home == null || weight(order.object(), first) > weight(order.object(), home))) {
        home = first;
      }
    }
    return home;
  }

  private static Choices better(long object, Choices known, TargetState target) {
    if (known.first() == null || weight(object, target) > weight(object, known.first())) {
      return new Choices(target, known.first());
    }
    if (known.second() == null || weight(object, target) > weight(object, known.second())) {
      return new Choices(known.first(), target);
    }
    return known;
  }

  private static long weight(long object, TargetState target) {
    return HASHER.hashLongLongToLong(object, target.idHash());
  }

  private Send estimate(
      Order order,
      TargetState target,
      @Nullable TargetState home,
      @Nullable Choices ofRegion,
      long now) {
    RouteRule route = order.route();
    double knows = knows(order, target, home, ofRegion);
    double warm = runTimes.millis(route.name(), route.latencyGoalMillis(), true);
    double unknown = runTimes.millis(route.name(), route.latencyGoalMillis(), false);
    double run = (knows * warm + (1 - knows) * unknown) * target.slowness();
    double over = target.load(now) + 1 - target.facts().slots();
    double wait = over <= 0 ? 0 : over / target.facts().slots() * run;
    return new Send(target, knows >= 0.5, run, wait);
  }

  private double knows(
      Order order, TargetState target, @Nullable TargetState home, @Nullable Choices ofRegion) {
    if (target.knows(order.object())) {
      return 1;
    }
    if (ofRegion == null) {
      return 0;
    }
    if (target == home) {
      return weights.homeKnows();
    }
    if (target == ofRegion.first()) {
      return weights.regionHomeKnows();
    }
    return target == ofRegion.second() ? weights.secondKnows() : 0;
  }

  private double cost(Send send, long now) {
    TargetState target = send.target();
    double cost = send.waitMillis() + weights.wayCost() * distances.millis(target.facts());
    cost += send.known() ? send.runMillis() : send.runMillis() * weights.coldRunCost();
    cost += CROWDED_MILLIS * target.load(now) / target.facts().slots();
    cost += weights.failureMillis() * target.failureShare(now);
    if (distances.isOtherRegion(target.facts())) {
      cost += weights.otherRegionMillis();
    } else if (distances.isOtherZone(target.facts())) {
      cost += weights.otherZoneMillis();
    }
    return target.isAvoided(now) ? cost + AVOIDED_MILLIS : cost;
  }

  /** Notes that a request was sent as decided. */
  public void sent(Send send, long now) {
    send.target().begin();
    if (send.target().isCold(now)) {
      cold.sent(send.target().facts(), now);
    }
  }

  /**
   * Learns from an answer.
   *
   * @param millis from sending to the end of the answer
   * @param load what the target told of its load, or null
   */
  public void answered(Order order, Send send, double millis, @Nullable LoadReport load, long now) {
    TargetState target = send.target();
    target.reached();
    target.outcome(true, now);
    boolean waited = load == null ? send.waitMillis() > 0 : load.waiting() > 0;
    double run = millis - distances.millis(target.facts());
    if (!waited && run > 0 && !target.isCold(now)) {
      boolean known = target.knows(order.object());
      RouteRule route = order.route();
      double usual = runTimes.millis(route.name(), route.latencyGoalMillis(), known);
      target.ran(run / usual);
      runTimes.ran(route.name(), route.latencyGoalMillis(), known, run);
    }
    target.remember(order.object(), now);
  }
}
