package org.sageladder.core.placing;

/**
 * What the choice among targets weighs against the time that a caller waits.
 *
 * @param homeKnows how surely the first choice of all for an object is believed to know it
 * @param regionHomeKnows the same for the first choice of each region
 * @param secondKnows the same for the second choice of each region
 * @param coldRunCost how often a run of an unknown object counts: it holds a slot that others wait
 *     for, besides taking longer itself
 * @param wayCost how often the way to a target and back counts: it comes on top of every run, and
 *     the time between a run and the latency goal is short
 * @param otherZoneMillis what the bytes to another zone are worth, in waiting
 * @param otherRegionMillis what the bytes to another region are worth, in waiting
 * @param failureMillis waiting that a share of failures of 1 counts as
 */
public record PlacingWeights(
    double homeKnows,
    double regionHomeKnows,
    double secondKnows,
    double coldRunCost,
    double wayCost,
    double otherZoneMillis,
    double otherRegionMillis,
    double failureMillis) {
  /** The weights in use; {@code docs/design/placing.md} has the figures of each. */
  public static PlacingWeights standard() {
    return new PlacingWeights(0.9, 0.5, 0.3, 1.5, 3, 10, 25, 2_000);
  }
}
