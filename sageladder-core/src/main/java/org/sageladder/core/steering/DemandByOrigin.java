package org.sageladder.core.steering;

import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;

/**
 * Works out which region's callers want how much, from what was asked of each region's gates.
 *
 * <p>A gate cannot tell from where its callers were sent. But the parts by which they were sent are
 * known: what region h was asked is the sum over all regions r of r's demand times the part of r's
 * callers that goes to h. Without this step, callers sent away would count as demand of the region
 * that they were sent to, and no longer of their own, and steering would bring them back at once.
 */
final class DemandByOrigin {
  private static final int ITERATIONS = 8;
  private static final double MIN_LOCAL_FRACTION = 0.05;

  private DemandByOrigin() {}

  /**
   * Demand by region of the caller.
   *
   * @param fractions parts in force, by region of the caller and zone
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
