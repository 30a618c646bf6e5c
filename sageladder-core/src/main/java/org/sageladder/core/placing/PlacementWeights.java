package org.sageladder.core.placing;

/**
 * The weights of the choice among targets. Costs are expressed as time that a caller waits.
 *
 * @param preferredWarmProbability probability that the preferred target of an object is warm for it
 * @param regionPreferredWarmProbability the same for the preferred target of each region
 * @param regionSecondWarmProbability the same for the second choice of each region
 * @param coldRunFactor weight of a run on a target that is cold for the object: besides taking
 *     longer, it holds a slot that other requests wait for
 * @param roundTripFactor weight of the round-trip time to a target: it adds to every run, and the
 *     margin between run time and latency goal is small
 * @param crossZoneCostMillis cost of traffic to another zone
 * @param crossRegionCostMillis cost of traffic to another region
 * @param failureCostMillis cost of a target whose requests all fail
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
  /** The default weights; {@code docs/design/placing.md} has the measurements behind each. */
  public static PlacementWeights standard() {
    return new PlacementWeights(0.9, 0.5, 0.3, 1.5, 3, 10, 25, 2_000);
  }
}
