package org.sageladder.core.placing;

/**
 * What the choice among targets weighs against the time that a caller waits.
 *
 * @param preferredWarmProbability how surely the first choice of all for an object is believed to
 *     know it
 * @param regionPreferredWarmProbability the same for the first choice of each region
 * @param regionSecondWarmProbability the same for the second choice of each region
 * @param coldRunFactor how often a run of an unknown object counts: it holds a slot that others
 *     wait for, besides taking longer itself
 * @param roundTripFactor how often the way to a target and back counts: it comes on top of every
 *     run, and the time between a run and the latency goal is short
 * @param crossZoneCostMillis what the bytes to another zone are worth, in waiting
 * @param crossRegionCostMillis what the bytes to another region are worth, in waiting
 * @param failureCostMillis waiting that a share of failures of 1 counts as
 */
public record PlacementWeights(
    double preferredWarmProbability,
    double regionPreferredWarmProbability,
    double regionSecondWarmProbability,
    double coldRunFactor,
    double roundTripFactor,
    double crossZoneCostMillis,
    double crossRegionCostMillis,
    double failureCostMillis) {
  /** The weights in use; {@code docs/design/placing.md} has the figures of each. */
  public static PlacementWeights standard() {
    return new PlacementWeights(0.9, 0.5, 0.3, 1.5, 3, 10, 25, 2_000);
  }
}
