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
  private static final int REPORTS = 20;

  /** Reports of the region that weigh as much as the guess from this VM's own requests. */
  private static final double GUESS_WEIGHT = 3;

  private final RunningMean reported = RunningMean.ofLast(REPORTS);
  private int slots;
  private int own;
  private int peers;

  /** Targets with that many slots have joined the region, or left it where it is negative. */
  void slotsAdded(int number) {
    slots += number;
  }

  /** Requests believed to be at all targets of the region. */
  double busy() {
    return own + guess(slots);
  }

  /** Slots of the region's targets. */
  int slots() {
    return slots;
  }

  /** This VM has sent a request there, or one has ended where {@code change} is negative. */
  void addOwnRequests(int change) {
    own += change;
  }

  /** Sets how many other entry VMs are assumed to send the same share there as this one. */
  void peers(int number) {
    peers = number;
  }

  /** Records that others have {@code load} requests at a target with {@code ofSlots} slots. */
  void recordReport(double load, int ofSlots) {
    reported.add(load / ofSlots);
  }

  /** Requests of other entry VMs that a target with {@code ofSlots} slots has, as a guess. */
  double guess(int ofSlots) {
    double guessed = slots == 0 ? 0 : (double) own * peers / slots;
    long reports = reported.count();
    double perSlot =
        (reports * reported.value() + GUESS_WEIGHT * guessed) / (reports + GUESS_WEIGHT);
    return perSlot * ofSlots;
  }
}
