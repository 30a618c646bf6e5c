package org.sageladder.core.placing;

/**
 * What the choice among targets weighs against the time that a caller waits.
 *
 * @param lateGoals what an answer after its latency goal costs, in goals: about as much as waiting
 *     once more for the goal's time
 * @param coldCopy cost of a run of an unknown object elsewhere than at its home, in such runs,
 *     while homes know little: it holds a slot that first runs at homes wait for, and is not used
 *     again
 * @param warmCopy the same while homes know their objects; negative, since a second target that
 *     knows an object takes load off its home from then on
 * @param wayCost how often the way to a target and back counts
 * @param otherZoneMillis what the bytes to another zone are worth, in waiting
 * @param otherRegionMillis what the bytes to another region are worth, in waiting
 * @param failureMillis waiting that a share of failures of 1 counts as
 */
public record PlacingWeights(
    double lateGoals,
    double coldCopy,
    double warmCopy,
    double wayCost,
    double otherZoneMillis,
    double otherRegionMillis,
    double failureMillis) {
  /** The weights in use; {@code docs/design/placing.md} has the figures of each. */
  public static PlacingWeights standard() {
    return new PlacingWeights(1, 2, -0.3, 1, 10, 25, 2_000);
  }
}
