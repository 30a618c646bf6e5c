package org.sageladder.core.steering;

/**
 * Moves the parts in force toward those wanted, by as much as late readings allow.
 *
 * <p>Callers are sent away from home at once but brought back by small steps: a reading that says
 * "home has room again" was taken while they were away, and to believe it whole would send them
 * back and forth. Away from a zone that can carry nothing any more all go at once.
 */
final class Damping {
  private static final double RETURN_STEP_FRACTION = 0.1;

  private Damping() {}

  static double[][] step(
      ServiceFacts before,
      double[][] currentFractions,
      ServiceFacts after,
      double[][] desiredFractions) {
    double[][] parts = new double[desiredFractions.length][];
    boolean sameZones = before.zones().size() == after.zones().size();
    for (int region = 0; region < desiredFractions.length; region++) {
      boolean comparable = sameZones && region < currentFractions.length;
      parts[region] =
          comparable
              ? step(region, currentFractions[region], after, desiredFractions[region])
              : desiredFractions[region];
    }
    return parts;
  }

  private static double[] step(
      int region, double[] currentFractions, ServiceFacts facts, double[] desiredFractions) {
    String home = facts.contract().regions().get(region).name();
    double homeInForce = 0;
    double homeWanted = 0;
    for (int zone = 0; zone < desiredFractions.length; zone++) {
      ZoneReading reading = facts.zones().get(zone).reading();
      if (currentFractions[zone] > 0 && reading.capacityPerSecond() <= 0) {
        return desiredFractions;
      }
      if (reading.region().equals(home)) {
        homeInForce += currentFractions[zone];
        homeWanted += desiredFractions[zone];
      }
    }
    double weight = homeWanted > homeInForce ? RETURN_STEP_FRACTION : 1;
    double[] parts = new double[desiredFractions.length];
    for (int zone = 0; zone < desiredFractions.length; zone++) {
      parts[zone] =
          currentFractions[zone] + weight * (desiredFractions[zone] - currentFractions[zone]);
    }
    return parts;
  }
}
