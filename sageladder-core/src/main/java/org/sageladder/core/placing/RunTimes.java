package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.sageladder.core.routing.RouteRule;

/**
 * Run times of each route at each service, separately for targets that are warm for the object and
 * for cold ones.
 *
 * <p>They are measured from answers of targets that had a free slot, since a wait at the target is
 * not part of the run. Behind a queue that never drains there are no such answers. But a run takes
 * no longer than wait and run together, so that the mean of both is an upper bound for the default
 * estimate of a run time that was not measured yet.
 */
public final class RunTimes {
  /**
   * Default run time on a target that is cold for the object, as a multiple of the route's latency
   * goal.
   */
  private static final double DEFAULT_COLD_GOAL_FACTOR = 1.5;

  /**
   * Default run time on a target that is warm for the object, as a fraction of the route's latency
   * goal.
   */
  private static final double DEFAULT_WARM_GOAL_FACTOR = 0.5;

  /** Number of recent runs that a mean covers. */
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

    /** Returns the mean of runs with a free slot, or else that of runs behind a queue. */
    OptionalDouble measuredMillis(long minRuns) {
      if (unqueuedRuns.count() >= minRuns) {
        return OptionalDouble.of(unqueuedRuns.value());
      }
      return queuedRuns.count() >= minRuns
          ? OptionalDouble.of(queuedRuns.value())
          : OptionalDouble.empty();
    }
  }

  /**
   * A route at one of its services. Another service may take another time to run the same requests.
   */
  private record RouteAtService(String service, String route) {}

  private final Map<RouteAtService, RouteTimes> timesByRoute = new HashMap<>();
  private final DoubleSupplier settleMillis;

  private RunTimes(DoubleSupplier settleMillis) {
    this.settleMillis = settleMillis;
  }

  /**
   * Creates run times with nothing measured yet.
   *
   * @param settleMillis shortest time constant with which an estimate follows newer runs; 0 for
   *     none
   */
  public static RunTimes create(DoubleSupplier settleMillis) {
    return new RunTimes(settleMillis);
  }

  private RouteTimes routeTimes(String service, RouteRule route) {
    return timesByRoute.computeIfAbsent(
        new RouteAtService(service, route.name()),
        routeAtService -> new RouteTimes(route.latencyGoalMillis()));
  }

  /**
   * Discards all routes except those with these names. Without this, the map would grow without
   * bound as operators add and remove routes over years.
   */
  public void retainRoutes(Set<String> routes) {
    timesByRoute.keySet().removeIf(routeAtService -> !routes.contains(routeAtService.route()));
  }

  /**
   * Returns the estimated run time in milliseconds. The default estimate for warm targets never
   * exceeds the estimate for cold ones.
   */
  public double estimateMillis(String service, RouteRule route, boolean isWarm) {
    RouteTimes times = routeTimes(service, route);
    boolean isDefault = isWarm && times.warm.unqueuedRuns.count() == 0;
    double millis = times.of(isWarm).estimateMillis();
    return isDefault ? Math.min(millis, times.cold.estimateMillis()) : millis;
  }

  /** Returns the number of runs that the estimate is based on; 0 if it is the default. */
  public long measuredRunCount(String service, RouteRule route, boolean isWarm) {
    return routeTimes(service, route).of(isWarm).unqueuedRuns.count();
  }

  /** Returns the mean of the measured runs, without the default estimate; 0 if there are none. */
  public double measuredMillis(String service, RouteRule route, boolean isWarm) {
    return routeTimes(service, route).of(isWarm).unqueuedRuns.value();
  }

  /**
   * Returns the run time by measured runs alone, including those behind queues. If only the other
   * of warm and cold was measured, that one is returned; if neither was, the result is empty.
   *
   * @param minRuns minimum number of runs that a mean must cover
   */
  OptionalDouble estimateFromMeasured(
      String service, RouteRule route, boolean isWarm, long minRuns) {
    RouteTimes times = routeTimes(service, route);
    OptionalDouble requested = times.of(isWarm).measuredMillis(minRuns);
    return requested.isPresent() ? requested : times.of(!isWarm).measuredMillis(minRuns);
  }

  /** Records a run behind a queue, from whose time the wait was subtracted. */
  void recordQueuedRun(String service, RouteRule route, boolean isWarm, double millis) {
    routeTimes(service, route).of(isWarm).queuedRuns.add(millis);
  }

  /** Records a run that ended at {@code now}. */
  public void recordRun(String service, RouteRule route, boolean isWarm, double millis, long now) {
    routeTimes(service, route).of(isWarm).recordRun(millis, settleMillis.getAsDouble(), now);
  }

  /** Records a wait and the run after it, which could not be measured separately. */
  public void recordWaitAndRun(String service, RouteRule route, boolean isWarm, double millis) {
    routeTimes(service, route).of(isWarm).waitsAndRuns.add(millis);
  }
}
