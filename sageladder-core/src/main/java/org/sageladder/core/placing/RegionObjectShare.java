package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Decides which objects a region with few slots retains and which it leaves to other regions.
 *
 * <p>Guards against a region that has more callers than its slots can serve: all its targets would
 * have queues while targets of other regions are idle, and the overflow would move to other regions
 * and back with each burst of traffic. Zones are placed where callers are, so that a region's
 * fraction of the zones is used as its fraction of the traffic. Together with the utilization of
 * the service's slots over all regions, it gives the expected utilization of the region's slots. If
 * that is too high, the region retains as many objects as its slots can serve, and the others have
 * no preferred region. Which objects are retained is derived from the object alone, so that all
 * entry VMs agree without communication, also while VMs are added or removed.
 *
 * <p>Until the load is known, slots are assumed to be at the maximum utilization. From then on the
 * retained fraction changes no faster than requests may change region.
 */
final class RegionObjectShare {
  /** Keeps the choice independent of the cost factors and of the order of targets. */
  private static final long SALT = 2;

  /** Maximum mean utilization of slots: above it, most requests wait. */
  private static final double MAX_UTILIZATION = 0.6;

  /** Fraction of the shift limit that is used here: other causes move requests as well. */
  private static final double USED_FRACTION = 0.6;

  private static final class RetainedShare {
    double fraction;
    long updatedAtMillis;

    RetainedShare(double fraction, long updatedAtMillis) {
      this.fraction = fraction;
      this.updatedAtMillis = updatedAtMillis;
    }
  }

  private final DoubleSupplier settleMillis;
  private final Map<String, RetainedShare> retainedByService = new HashMap<>();
  private double zoneShare;

  private RegionObjectShare(DoubleSupplier settleMillis) {
    this.settleMillis = settleMillis;
  }

  /**
   * Creates a share that retains all objects until {@link #updateZoneShare} is called.
   *
   * @param settleMillis time in which all requests of a region may change region; 0 for no limit
   */
  static RegionObjectShare create(DoubleSupplier settleMillis) {
    return new RegionObjectShare(settleMillis);
  }

  /** Sets the fraction of all zones that are in this VM's region; 0 if it is not known. */
  void updateZoneShare(double newZoneShare) {
    zoneShare = newZoneShare;
  }

  /**
   * Returns true if the region retains the object.
   *
   * @param slotShare fraction of the service's slots that are in the region
   * @param utilization fraction of all the service's slots that are busy
   */
  boolean retains(long object, String service, double slotShare, double utilization, long now) {
    if (slotShare >= zoneShare) {
      return true;
    }
    return ObjectHash.uniform(object, SALT)
        < retainedFraction(service, slotShare, utilization, now);
  }

  /** Returns the fraction of the service's objects that the region retains. */
  double retainedFraction(String service, double slotShare, double utilization, long now) {
    double proportionalFraction = slotShare / zoneShare;
    RetainedShare retained =
        retainedByService.computeIfAbsent(
            service, name -> new RetainedShare(proportionalFraction, now));
    double desiredFraction =
        utilization <= 0
            ? retained.fraction
            : Math.min(1, proportionalFraction * MAX_UTILIZATION / utilization);
    double settleTimeMillis = settleMillis.getAsDouble();
    double maxChange =
        settleTimeMillis <= 0
            ? 1
            : USED_FRACTION * (now - retained.updatedAtMillis) / settleTimeMillis;
    retained.fraction +=
        Math.max(-maxChange, Math.min(maxChange, desiredFraction - retained.fraction));
    retained.updatedAtMillis = now;
    return retained.fraction;
  }
}
