package org.sageladder.core.placing;

/**
 * Factor by which the cost of a run in another region differs between objects.
 *
 * <p>Guards against all objects of a route changing region in the same second. The cost of another
 * region is weighed against run times, which all entry VMs learn at about the same time. With one
 * cost for all objects, all their choices would change at once when a learned run time passes it.
 * With a different cost for each object, they change gradually, following the learned run time. The
 * factor is derived from the object alone, so that all entry VMs agree without communication.
 *
 * <pre>{@code
 * double millis = CrossRegionCostFactor.of(object) * weights.crossRegionCostMillis();
 * }</pre>
 */
final class CrossRegionCostFactor {
  /** Keeps the factors independent of the order of targets, which derives from the same hash. */
  private static final long SALT = 1;

  /** Factors lie at most this far from their mean of 1. */
  private static final double SPREAD = 0.5;

  private CrossRegionCostFactor() {}

  /** Returns the factor for an object, by its hash; 1 on average over all objects. */
  static double of(long object) {
    return 1 + SPREAD * (2 * ObjectHash.uniform(object, SALT) - 1);
  }
}
