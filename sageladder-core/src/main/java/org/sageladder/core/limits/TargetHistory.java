package org.sageladder.core.limits;

import java.util.List;

/**
 * What the previous gate of a target sends to the new one, so that a warm target need not go
 * through a slow start again.
 *
 * <p>It is sent after the previous gate has stopped giving the target requests, at most once per
 * change of the holder. If it is lost in transit, the new gate waits one window and starts the
 * target as cold: capacity goes unused for that time, but no cap is exceeded.
 *
 * @param takenAtMillis wall-clock time of the previous gate when the counts were taken
 * @param inFlight requests of the previous gate that still run on the target
 * @param targetSteps admissions in steps of a fiftieth of the window of the target's cap, newest
 *     first
 * @param regionSteps the same in steps of the window of the region's cap
 * @param gainReleased true if the previous gate no longer uses the target's share of the region's
 *     gain; otherwise the new gate may use that share one window later
 * @param waitMillis time that the previous gate still had to wait after its own take-over, 0 for
 *     none. During such a wait it gave the target no requests and counted none, and the new gate
 *     waits for the remaining time.
 */
public record TargetHistory(
    String target,
    long targetIncarnation,
    long takenAtMillis,
    int inFlight,
    List<Integer> targetSteps,
    List<Integer> regionSteps,
    boolean gainReleased,
    long waitMillis) {
  /** Copies the lists to keep the history immutable. */
  public TargetHistory {
    targetSteps = List.copyOf(targetSteps);
    regionSteps = List.copyOf(regionSteps);
  }

  /**
   * History of a target that got no requests because its gate was itself waiting after a take-over.
   */
  static TargetHistory stillWaiting(
      String target, long targetIncarnation, long takenAtMillis, int inFlight, long waitMillis) {
    return new TargetHistory(
        target,
        targetIncarnation,
        takenAtMillis,
        inFlight,
        List.of(),
        List.of(),
        false,
        waitMillis);
  }
}
