package org.sageladder.core.placing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Which objects a region with few slots keeps, and which it leaves to the others.
 *
 * <p>Guards against a region whose callers outnumber its slots: all its targets have queues while
 * others stand idle, and what the queues push out moves to other regions and back with each wave of
 * traffic. Entry VMs stand where callers are, so that a region's share of the VMs is taken as its
 * share of the traffic. Where that is larger than its share of a service's slots, it keeps as many
 * objects as the ratio says; the others have no preferred region. Which ones follows from the
 * object alone, so that all entry VMs agree without communication.
 */
final class RegionShare {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  /** Keeps the choice independent of prices and of the order of targets. */
  private static final long SALT = 2;

  private double vmShare;

  /** Sets which share of all entry VMs this VM's region has; 0 where that is not known. */
  void vmShare(double share) {
    vmShare = share;
  }

  /**
   * True where the region keeps the object.
   *
   * @param slotShare share of the service's slots that the region has
   */
  boolean keeps(long object, double slotShare) {
    if (slotShare >= vmShare) {
      return true;
    }
    double uniform = (HASHER.hashLongLongToLong(object, SALT) >>> 1) / (double) Long.MAX_VALUE;
    return uniform * vmShare < slotShare;
  }
}
