package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;

/**
 * Estimates the demand of each region's callers from the demand received by each region's gates.
 *
 * <p>A gate cannot tell from which region its callers were sent. But the traffic fractions in force
 * are known: the demand received by region h is the sum, over all regions r, of r's demand times
 * the fraction of r's callers sent to h. Without this step, callers sent to another region would
 * count as demand of that region and no longer of their own, and steering would bring them back at
 * once.
 */
final class DemandByOrigin {
  private static final int ITERATIONS = 8;
  private static final double MIN_LOCAL_FRACTION = 0.05;

  private DemandByOrigin() {}

  /**
   * Returns the demand by region of the caller.
   *
   * @param fractions traffic fractions in force, by region of the caller and zone
   */
  static double[] estimateDemand(Contract contract, List<ZoneReading> zones, double[][] fractions) {
    int regions = contract.regions().size();
    double[] received = new double[regions];
    double[][] sentFractions = new double[regions][regions];
    for (int zone = 0; zone < zones.size(); zone++) {
      int to = regionOf(contract, zones.get(zone).region());
      received[to] += zones.get(zone).demandPerSecond();
      for (int from = 0; from < regions; from++) {
        sentFractions[from][to] += fractions[from][zone];
      }
    }
    double[] demand = received.clone();
    for (int round = 0; round < ITERATIONS; round++) {
      for (int region = 0; region < regions; region++) {
        double fromOthers = 0;
        for (int from = 0; from < regions; from++) {
          fromOthers += from == region ? 0 : demand[from] * sentFractions[from][region];
        }
        demand[region] =
            Math.max(0, received[region] - fromOthers)
                / Math.max(MIN_LOCAL_FRACTION, sentFractions[region][region]);
      }
    }
    return demand;
  }

  private static int regionOf(Contract contract, String name) {
    List<String> names = new ArrayList<>();
    contract.regions().forEach(region -> names.add(region.name()));
    return names.indexOf(name);
  }
}
