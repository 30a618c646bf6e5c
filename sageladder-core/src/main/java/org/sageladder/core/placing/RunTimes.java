package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.sageladder.core.routing.RouteRule;

/**
 * How long runs of each route take at each service, apart for objects that the target knew.
 *
 * <p>Learnt from answers of targets that had a free slot, since a wait at the target is no run. In
 * a queue that never empties there are none; but runs take no longer than waits and runs together,
 * so that the mean of both bounds the guess of a run that was not measured yet.
 */
public final class RunTimes {
  /** Run of an unknown object until measured, as a part of the route's latency goal. */
  private static final double DEFAULT_COLD_GOAL_FACTOR = 1.5;

  /** Run of a known object until measured, as a part of the route's latency goal. */
  private static final double DEFAULT_WARM_GOAL_FACTOR = 0.5;

  /** Runs that count in a mean. */
  private static final int RUN_WINDOW = 20;

  private static final long NEVER = -1;

  private static final class RouteTimes {
    final RunTimeEstimate cold;
    final RunTimeEstimate warm;

    RouteTimes(long goalMillis) {
      cold = new RunTimeEstimate(DEFAULT_COLD_GOAL_FACTOR * goalMillis);
      warm = new RunTimeEstimate(DEFAULT_WARM_GOAL_FACTOR * goalMillis);
    }

    RunTimeEstimate of(boolean isWarm) {
      return isWarm ? warm : cold;
    }
  }

  private static final class RunTimeEstimate {
    private final RunningMean unqueuedRuns = RunningMean.ofLast(RUN_WINDOW);
    private final RunningMean waitsAndRuns = RunningMean.ofLast(RUN_WINDOW);
    private final RunningMean queuedRuns = RunningMean.ofLast(RUN_WINDOW);
    private double estimateMillis;
    private long updatedAtMillis = NEVER;

    RunTimeEstimate(double initialMillis) {
      estimateMillis = initialMillis;
    }

    double estimateMillis() {
      boolean isBounded = unqueuedRuns.count() == 0 && waitsAndRuns.count() > 0;
      return isBounded ? Math.min(estimateMillis, waitsAndRuns.value()) : estimateMillis;
    }

    void recordRun(double millis, double settleMillis, long now) {
      double weight = 1.0 / RUN_WINDOW;
      if (updatedAtMillis != NEVER && settleMillis > 0) {
        weight = Math.min(weight, (now - updatedAtMillis) / settleMillis);
      }
      estimateMillis += weight * (millis - estimateMillis);
      updatedAtMillis = now;
      unqueuedRuns.add(millis);
    }

    /** What was measured, with free slots where there were any, else behind queues. */
    OptionalDouble measuredMillis(long minRuns) {
      if (unqueuedRuns.count() >= minRuns) {
        return OptionalDouble.of(unqueuedRuns.value());
      }
      return queuedRuns.count() >= minRuns
          ? OptionalDouble.of(queuedRuns.value())
          : OptionalDouble.empty();
    }
  }

  /** A route at one of its services: another service may run its requests in another time. */
  private record RouteAtService(String service, String route) {}

  private final Map<RouteAtService, RouteTimes> timesByRoute = new HashMap<>();
  private final DoubleSupplier settleMillis;

  private RunTimes(DoubleSupplier settleMillis) {
    this.settleMillis = settleMillis;
  }

  /**
   * Run times with nothing measured yet.
   *
   * @param settleMillis shortest time constant in which a mean follows newer runs; 0 for none
   */
  public static RunTimes create(DoubleSupplier settleMillis) {
    return new RunTimes(settleMillis);
  }

  private RouteTimes routeTimes(String service, RouteRule route) {
    return timesByRoute.computeIfAbsent(
        new RouteAtService(service, route.name()),
        routeAtService -> new RouteTimes(route.latencyGoalMillis()));
  }

  /** Forgets all routes but those of these names: operators add and remove them for years. */
  public void retainRoutes(Set<String> routes) {
    timesByRoute.keySet().removeIf(routeAtService -> !routes.contains(routeAtService.route()));
  }

  /** Mean time of a run, in milliseconds; an object that the target knows takes no longer. */
  public double estimateMillis(String service, RouteRule route, boolean isWarm) {
    RouteTimes times = routeTimes(service, route);
    boolean isGuess = isWarm && times.warm.unqueuedRuns.count() == 0;
    double millis = times.of(isWarm).estimateMillis();
    return isGuess ? Math.min(millis, times.cold.estimateMillis()) : millis;
  }

  /** Runs that the mean follows from; 0 where it is a guess. */
  public long measuredRunCount(String service, RouteRule route, boolean isWarm) {
    return routeTimes(service, route).of(isWarm).unqueuedRuns.count();
  }

  /** Mean of the measured runs alone, without the guess before them; 0 where there are none. */
  public double measuredMillis(String service, RouteRule route, boolean isWarm) {
    return routeTimes(service, route).of(isWarm).unqueuedRuns.value();
  }

  /**
   * Time of a run by what was measured alone, also behind queues; that of the other kind where only
   * that was measured, and empty where neither was.
   *
   * @param minRuns runs that a mean follows from
   */
  OptionalDouble estimateFromMeasured(
      String service, RouteRule route, boolean isWarm, long minRuns) {
    RouteTimes times = routeTimes(service, route);
    OptionalDouble requested = times.of(isWarm).measuredMillis(minRuns);
    return requested.isPresent() ? requested : times.of(!isWarm).measuredMillis(minRuns);
  }

  /** Takes the time of one run behind a queue, from which the wait was taken off. */
  void recordQueuedRun(String service, RouteRule route, boolean isWarm, double millis) {
    routeTimes(service, route).of(isWarm).queuedRuns.add(millis);
  }

  /** Takes the time of one run that ended at {@code now}. */
  public void recordRun(String service, RouteRule route, boolean isWarm, double millis, long now) {
    routeTimes(service, route).of(isWarm).recordRun(millis, settleMillis.getAsDouble(), now);
  }

  /** Takes the time of a wait and the run after it, of which there is no other measure. */
  public void recordWaitAndRun(String service, RouteRule route, boolean isWarm, double millis) {
    routeTimes(service, route).of(isWarm).waitsAndRuns.add(millis);
  }
}
