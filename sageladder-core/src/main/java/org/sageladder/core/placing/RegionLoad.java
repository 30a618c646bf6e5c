package org.sageladder.core.placing;

/**
 * Load that all other entry VMs put on the targets of one service in one region, for each slot.
 *
 * <p>An entry VM hears of a target's load only when that target answers it. Where sixty VMs share
 * forty targets that is once in ten seconds, and at the start of a day not before the first run has
 * ended: a target believed idle meanwhile is crowded by all of them. So what any target of the
 * region reported stands in for those without a recent report, and until one has reported the other
 * VMs are taken to send as this one does.
 */
final class RegionLoad {
  /** Reports of the region that count in its mean. */
  private static final int REPORT_WINDOW = 20;

  /** Reports of the region that weigh as much as the guess from this VM's own requests. */
  private static final double PRIOR_WEIGHT_REPORTS = 3;

  private final RunningMean reportedLoadPerSlot = RunningMean.ofLast(REPORT_WINDOW);
  private int slotCount;
  private int ownRequestCount;
  private int peerCount;

  /** Targets with that many slots have joined the region, or left it where it is negative. */
  void addSlots(int change) {
    slotCount += change;
  }

  /** Requests believed to be at all targets of the region. */
  double estimatedRequestCount() {
    return ownRequestCount + estimatePeerLoad(slotCount);
  }

  /** Slots of the region's targets. */
  int slotCount() {
    return slotCount;
  }

  /** This VM has sent a request there, or one has ended where {@code change} is negative. */
  void addOwnRequests(int change) {
    ownRequestCount += change;
  }

  /** Sets how many other entry VMs are assumed to send the same share there as this one. */
  void updatePeerCount(int number) {
    peerCount = number;
  }

  /** Records that others have {@code load} requests at a target with {@code ofSlots} slots. */
  void recordReport(double load, int targetSlots) {
    reportedLoadPerSlot.add(load / targetSlots);
  }

  /** Requests of other entry VMs that a target with {@code ofSlots} slots has, as a guess. */
  double estimatePeerLoad(int targetSlots) {
    double guessedPerSlot = slotCount == 0 ? 0 : (double) ownRequestCount * peerCount / slotCount;
    long reportCount = reportedLoadPerSlot.count();
    double loadPerSlot =
        (reportCount * reportedLoadPerSlot.value() + PRIOR_WEIGHT_REPORTS * guessedPerSlot)
            / (reportCount + PRIOR_WEIGHT_REPORTS);
    return loadPerSlot * targetSlots;
  }
}
