package org.sageladder.core.placing;

/**
 * How much a run in another region counts for each object, as a part of the mean price.
 *
 * <p>Guards against all objects of a route changing region in the same second. The price of another
 * region is weighed against run times, which all entry VMs learn at about the same time. With one
 * price for all objects, their choices flip together as a learnt time passes it; with a price for
 * each object, they flip one after the other, as far as the learnt time moves. The price follows
 * from the object alone, so that all entry VMs agree on it without communication.
 *
 * <pre>{@code
 * double millis = RegionPrice.of(object) * weights.otherRegionMillis();
 * }</pre>
 */
final class CrossRegionCostFactor {
  /** Keeps prices independent of the order of targets, which follows from the same hash. */
  private static final long SALT = 1;

  /** Prices lie this far below and above their mean, as a part of it. */
  private static final double SPREAD = 0.5;

  private CrossRegionCostFactor() {}

  /** The price for an object, by its hash; 1 on average over all objects. */
  static double of(long object) {
    return 1 + SPREAD * (2 * ObjectHash.uniform(object, SALT) - 1);
  }
}
