package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import org.sageladder.core.routing.RouteRule;

/**
 * How long runs of each route take at each service, apart for objects that the target knew.
 *
 * <p>Learnt from answers of targets that had a free slot, since a wait at the target is no run. In
 * a queue that never empties there are none; but a run takes no longer than wait and run together,
 * so that each answer bounds the guess of a run that was not measured yet.
 */
public final class RunTimes {
  /** Run of an unknown object until measured, as a part of the route's latency goal. */
  private static final double COLD_OF_GOAL = 1.5;

  /** Run of a known object until measured, as a part of the route's latency goal. */
  private static final double WARM_OF_GOAL = 0.5;

  /** Part of a new run in the mean; about the last twenty runs count. */
  private static final double STEP = 0.05;

  private static final class Means {
    double cold;
    double warm;
    long coldRuns;
    long warmRuns;
  }

  /** A route at one of its services: another service may run its requests in another time. */
  private record Place(String service, String route) {}

  private final Map<Place, Means> places = new HashMap<>();

  private RunTimes() {}

  /** Run times with nothing measured yet. */
  public static RunTimes create() {
    return new RunTimes();
  }

  private Means means(String service, RouteRule route) {
    return places.computeIfAbsent(
        new Place(service, route.name()),
        place -> {
          Means fresh = new Means();
          fresh.cold = COLD_OF_GOAL * route.latencyGoalMillis();
          fresh.warm = WARM_OF_GOAL * route.latencyGoalMillis();
          return fresh;
        });
  }

  /** Mean time of a run, in milliseconds. */
  public double millis(String service, RouteRule route, boolean known) {
    Means means = means(service, route);
    if (!known) {
      return means.cold;
    }
    return means.warmRuns == 0 ? Math.min(means.warm, means.cold) : means.warm;
  }

  /** Runs that the mean follows from; 0 where it is a guess. */
  public long measured(String service, RouteRule route, boolean known) {
    Means means = means(service, route);
    return known ? means.warmRuns : means.coldRuns;
  }

  /** Takes the time of one run. */
  public void ran(String service, RouteRule route, boolean known, double millis) {
    Means means = means(service, route);
    if (known) {
      means.warm += STEP * (millis - means.warm);
      means.warmRuns++;
      return;
    }
    means.coldRuns++;
    means.cold += STEP * (millis - means.cold);
  }

  /** Takes the time of a wait and the run after it: the run took no longer than both. */
  public void ranWithin(String service, RouteRule route, boolean known, double millis) {
    Means means = means(service, route);
    if (known && means.warmRuns == 0) {
      means.warm = Math.min(means.warm, millis);
    }
    if (!known && means.coldRuns == 0) {
      means.cold = Math.min(means.cold, millis);
    }
  }
}
