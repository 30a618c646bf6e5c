package org.sageladder.core.steering;

/**
 * Moves the current traffic fractions toward the desired ones, limited because readings are
 * delayed.
 *
 * <p>Callers are sent from their own region to others immediately but return in small steps. A
 * reading that reports headroom in their region was taken while they were sent to other regions;
 * acting on it fully would make them oscillate between regions. If a zone has no capacity left, all
 * its callers are moved immediately.
 */
final class Damping {
  private static final double RETURN_STEP_FRACTION = 0.1;

  private Damping() {}

  static double[][] step(
      ServiceFacts previous,
      double[][] currentFractions,
      ServiceFacts current,
      double[][] desiredFractions) {
    double[][] fractions = new double[desiredFractions.length][];
    boolean hasSameZones = previous.zones().size() == current.zones().size();
    for (int region = 0; region < desiredFractions.length; region++) {
      boolean isComparable = hasSameZones && region < currentFractions.length;
      fractions[region] =
          isComparable
              ? step(region, currentFractions[region], current, desiredFractions[region])
              : desiredFractions[region];
    }
    return fractions;
  }

  private static double[] step(
      int region, double[] currentFractions, ServiceFacts facts, double[] desiredFractions) {
    String regionName = facts.contract().regions().get(region).name();
    double currentLocal = 0;
    double desiredLocal = 0;
    for (int zone = 0; zone < desiredFractions.length; zone++) {
      ZoneReading reading = facts.zones().get(zone).reading();
      if (currentFractions[zone] > 0 && reading.capacityPerSecond() <= 0) {
        return desiredFractions;
      }
      if (reading.region().equals(regionName)) {
        currentLocal += currentFractions[zone];
        desiredLocal += desiredFractions[zone];
      }
    }
    double weight = desiredLocal > currentLocal ? RETURN_STEP_FRACTION : 1;
    double[] fractions = new double[desiredFractions.length];
    for (int zone = 0; zone < desiredFractions.length; zone++) {
      fractions[zone] =
          currentFractions[zone] + weight * (desiredFractions[zone] - currentFractions[zone]);
    }
    return fractions;
  }
}
