package org.sageladder.core.placing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Which objects a region with few slots keeps, and which it leaves to the others.
 *
 * <p>Guards against a region whose callers outnumber its slots: all its targets have queues while
 * others stand idle, and what the queues push out moves to other regions and back with each wave of
 * traffic. Zones stand where callers are, so that a region's share of the zones is taken as its
 * share of the traffic. By that and by how busy a service's slots are everywhere follows how busy
 * the region's would be; where that is too much, it keeps as many objects as its slots bear, and
 * the others have no preferred region. Which ones follows from the object alone, so that all entry
 * VMs agree without communication, also while VMs come and go.
 *
 * <p>Until anything is known of the load, slots count as busy as they may be. From then on the
 * share moves no faster than requests may change region.
 */
final class RegionObjectShare {
  /** Keeps the choice independent of prices and of the order of targets. */
  private static final long SALT = 2;

  /** Part of the slots that may be busy on the mean: above, most requests wait. */
  private static final double MAX_UTILIZATION = 0.6;

  /** Part of the bound on shifts that is used: other things move requests as well. */
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
   * A share that keeps all objects until {@link #zoneShare} is called.
   *
   * @param settleMillis time in which all requests of a region may change region; 0 for no bound
   */
  static RegionObjectShare create(DoubleSupplier settleMillis) {
    return new RegionObjectShare(settleMillis);
  }

  /** Sets which share of all zones this VM's region has; 0 where that is not known. */
  void updateZoneShare(double newZoneShare) {
    zoneShare = newZoneShare;
  }

  /**
   * True where the region keeps the object.
   *
   * @param slotShare share of the service's slots that the region has
   * @param utilization part of all the service's slots that is busy
   */
  boolean retains(long object, String service, double slotShare, double utilization, long now) {
    if (slotShare >= zoneShare) {
      return true;
    }
    return ObjectHash.uniform(object, SALT)
        < retainedFraction(service, slotShare, utilization, now);
  }

  /** Part of the service's objects that the region keeps. */
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
