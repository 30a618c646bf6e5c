package org.sageladder.core.placing;

/**
 * Estimated load, per slot, that all other entry VMs put on the targets of one service in one
 * region.
 *
 * <p>An entry VM learns a target's load only from that target's answers. With sixty VMs and forty
 * targets that is once in ten seconds, and at the start of a day not before the first run has
 * ended. A target assumed to be idle in between would be overloaded by all of them. Reports of
 * other targets in the region are therefore used for those without a recent report, and until the
 * first report the other VMs are assumed to send the same load as this one.
 */
final class RegionLoad {
  /** Number of recent reports of the region that the mean covers, for each reporting VM. */
  private static final int REPORT_WINDOW = 20;

  /** Weight of the estimate from this VM's own requests, as a number of reports. */
  private static final double PRIOR_WEIGHT_REPORTS = 3;

  private final RunningMean reportedLoadPerSlot = RunningMean.ofLast(REPORT_WINDOW);
  private long lastReportAtMillis;
  private int slotCount;
  private int ownRequestCount;
  private int peerCount;

  /** Adds the slots of targets that joined the region; negative for targets that left it. */
  void addSlots(int change) {
    slotCount += change;
  }

  /** Returns the estimated number of requests at all targets of the region. */
  double estimatedRequestCount() {
    return ownRequestCount + estimatePeerLoad(slotCount);
  }

  /** The slots of the region's targets. */
  int slotCount() {
    return slotCount;
  }

  /** Counts requests that this VM started there; negative for requests that ended. */
  void addOwnRequests(int change) {
    ownRequestCount += change;
  }

  /** Sets the number of other entry VMs assumed to send the same load there as this one. */
  void updatePeerCount(int number) {
    peerCount = number;
  }

  /**
   * Sets the number of entry VMs whose reports are recorded, so that the mean covers as much time
   * as with one.
   */
  void updateReportingVmCount(int number) {
    reportedLoadPerSlot.updateWindow(REPORT_WINDOW * number);
  }

  /**
   * Records that other entry VMs have {@code load} requests at a target with {@code targetSlots}
   * slots.
   */
  void recordReport(double load, int targetSlots, long now) {
    reportedLoadPerSlot.add(load / targetSlots);
    lastReportAtMillis = now;
  }

  /** The number of reports from targets of the region. */
  long reportCount() {
    return reportedLoadPerSlot.count();
  }

  /** Time since the newest report from a target of the region. */
  long reportAgeMillis(long now) {
    return now - lastReportAtMillis;
  }

  /**
   * Returns the estimated requests of other entry VMs at a target with {@code targetSlots} slots.
   */
  double estimatePeerLoad(int targetSlots) {
    double guessedPerSlot = slotCount == 0 ? 0 : (double) ownRequestCount * peerCount / slotCount;
    long reportCount = reportedLoadPerSlot.count();
    double loadPerSlot =
        (reportCount * reportedLoadPerSlot.value() + PRIOR_WEIGHT_REPORTS * guessedPerSlot)
            / (reportCount + PRIOR_WEIGHT_REPORTS);
    return loadPerSlot * targetSlots;
  }
}
