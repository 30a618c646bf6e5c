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
  private static final double COLD_OF_GOAL = 1.5;

  /** Run of a known object until measured, as a part of the route's latency goal. */
  private static final double WARM_OF_GOAL = 0.5;

  /** Runs that count in a mean. */
  private static final int RUNS = 20;

  private static final long NEVER = -1;

  private static final class Means {
    final Mean cold;
    final Mean warm;

    Means(long goalMillis) {
      cold = new Mean(COLD_OF_GOAL * goalMillis);
      warm = new Mean(WARM_OF_GOAL * goalMillis);
    }

    Mean of(boolean known) {
      return known ? warm : cold;
    }
  }

  private static final class Mean {
    private final RunningMean measured = RunningMean.ofLast(RUNS);
    private final RunningMean within = RunningMean.ofLast(RUNS);
    private final RunningMean behind = RunningMean.ofLast(RUNS);
    private double run;
    private long ranAt = NEVER;

    Mean(double guess) {
      run = guess;
    }

    double millis() {
      boolean bounded = measured.count() == 0 && within.count() > 0;
      return bounded ? Math.min(run, within.value()) : run;
    }

    void ran(double millis, double settleMillis, long now) {
      double part = 1.0 / RUNS;
      if (ranAt != NEVER && settleMillis > 0) {
        part = Math.min(part, (now - ranAt) / settleMillis);
      }
      run += part * (millis - run);
      ranAt = now;
      measured.add(millis);
    }

    /** What was measured, with free slots where there were any, else behind queues. */
    OptionalDouble measuredBy(long fewest) {
      if (measured.count() >= fewest) {
        return OptionalDouble.of(measured.value());
      }
      return behind.count() >= fewest ? OptionalDouble.of(behind.value()) : OptionalDouble.empty();
    }
  }

  /** A route at one of its services: another service may run its requests in another time. */
  private record Place(String service, String route) {}

  private final Map<Place, Means> places = new HashMap<>();
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

  private Means means(String service, RouteRule route) {
    return places.computeIfAbsent(
        new Place(service, route.name()), place -> new Means(route.latencyGoalMillis()));
  }

  /** Forgets all routes but those of these names: operators add and remove them for years. */
  public void retain(Set<String> routes) {
    places.keySet().removeIf(place -> !routes.contains(place.route()));
  }

  /** Mean time of a run, in milliseconds; an object that the target knows takes no longer. */
  public double millis(String service, RouteRule route, boolean known) {
    Means means = means(service, route);
    boolean guessed = known && means.warm.measured.count() == 0;
    double millis = means.of(known).millis();
    return guessed ? Math.min(millis, means.cold.millis()) : millis;
  }

  /** Runs that the mean follows from; 0 where it is a guess. */
  public long measured(String service, RouteRule route, boolean known) {
    return means(service, route).of(known).measured.count();
  }

  /** Mean of the measured runs alone, without the guess before them; 0 where there are none. */
  public double measuredMillis(String service, RouteRule route, boolean known) {
    return means(service, route).of(known).measured.value();
  }

  /**
   * Time of a run by what was measured alone, also behind queues; that of the other kind where only
   * that was measured, and empty where neither was.
   *
   * @param fewest runs that a mean follows from
   */
  OptionalDouble fromMeasured(String service, RouteRule route, boolean known, long fewest) {
    Means means = means(service, route);
    OptionalDouble asked = means.of(known).measuredBy(fewest);
    return asked.isPresent() ? asked : means.of(!known).measuredBy(fewest);
  }

  /** Takes the time of one run behind a queue, from which the wait was taken off. */
  void ranBehind(String service, RouteRule route, boolean known, double millis) {
    means(service, route).of(known).behind.add(millis);
  }

  /** Takes the time of one run that ended at {@code now}. */
  public void ran(String service, RouteRule route, boolean known, double millis, long now) {
    means(service, route).of(known).ran(millis, settleMillis.getAsDouble(), now);
  }

  /** Takes the time of a wait and the run after it, of which there is no other measure. */
  public void ranWithin(String service, RouteRule route, boolean known, double millis) {
    means(service, route).of(known).within.add(millis);
  }
}
