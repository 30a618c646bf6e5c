package org.sageladder.core.steering;

/**
 * Moves the parts in force toward those wanted, by as much as late readings allow.
 *
 * <p>Callers are sent away from home at once but brought back by small steps: a reading that says
 * "home has room again" was taken while they were away, and to believe it whole would send them
 * back and forth. Away from a zone that can carry nothing any more all go at once.
 */
final class Damping {
  private static final double RETURN_STEP = 0.3;

  private Damping() {}

  static double[][] step(
      ServiceFacts before, double[][] inForce, ServiceFacts after, double[][] wanted) {
    double[][] parts = new double[wanted.length][];
    boolean sameZones = before.zones().size() == after.zones().size();
    for (int region = 0; region < wanted.length; region++) {
      boolean comparable = sameZones && region < inForce.length;
      parts[region] =
          comparable ? step(region, inForce[region], after, wanted[region]) : wanted[region];
    }
    return parts;
  }

  private static double[] step(int region, double[] inForce, ServiceFacts facts, double[] wanted) {
    String home = facts.contract().regions().get(region).name();
    double homeInForce = 0;
    double homeWanted = 0;
    for (int zone = 0; zone < wanted.length; zone++) {
      ZoneReading reading = facts.zones().get(zone).reading();
      if (inForce[zone] > 0 && reading.capacityPerSecond() <= 0) {
        return wanted;
      }
      if (reading.region().equals(home)) {
        homeInForce += inForce[zone];
        homeWanted += wanted[zone];
      }
    }
    double weight = homeWanted > homeInForce ? RETURN_STEP : 1;
    double[] parts = new double[wanted.length];
    for (int zone = 0; zone < wanted.length; zone++) {
      parts[zone] = inForce[zone] + weight * (wanted[zone] - inForce[zone]);
    }
    return parts;
  }
}
