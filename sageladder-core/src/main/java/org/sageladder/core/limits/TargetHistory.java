package org.sageladder.core.limits;

import java.util.List;

/**
 * What a gate that lost a target tells the gate that has it now, so that a warm target need not
 * start as a cold one.
 *
 * <p>It is sent after the old gate has stopped giving the target work, at most once per loss. If it
 * is lost on the way, the new gate waits one window and starts the target as cold: headroom is
 * lost, no cap is broken.
 *
 * @param takenAtMillis wall clock of the old gate when it counted
 * @param inFlight requests of the old gate that still run on the target
 * @param targetSteps admissions in steps of a fiftieth of the target cap's window, newest first
 * @param regionSteps the same in steps of the region cap's window
 * @param gainReleased true where the old gate does without the target's part of the region's gain
 *     from now on; otherwise the new gate may use that part one window later
 * @param waitMillis what was left of the old gate's own wait for the gate before it, which it has
 *     not given work since; then nothing was counted, and the new gate waits as long. 0 for none
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
  /** Copies the lists, so that the history cannot change. */
  public TargetHistory {
    targetSteps = List.copyOf(targetSteps);
    regionSteps = List.copyOf(regionSteps);
  }

  /** Of a target that got no work while its gate waited for the one before. */
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
