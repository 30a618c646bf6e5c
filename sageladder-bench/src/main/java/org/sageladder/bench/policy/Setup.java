package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;

/**
 * Sizes and delays of one simulation; the defaults are typical of one service of a current
 * customer.
 *
 * @param regionGainFraction allowed growth of a region from one window to the next, as a fraction
 *     of its capacity in a window
 * @param targetGainFraction the same for a target
 * @param summaryDelayMillis delay of zone summaries between regions
 * @param summaryLossProbability fraction of zone summaries that are lost, 0 to 1
 */
record Setup(
    int regionCount,
    int zonesPerRegion,
    int vmsPerZone,
    int targetsPerVm,
    int slotsPerTarget,
    double meanServiceMillis,
    double regionGainFraction,
    double targetGainFraction,
    int windowSeconds,
    long summaryDelayMillis,
    double summaryLossProbability,
    long seed) {
  static final String CUSTOMER = "c";
  static final String SERVICE = "s";

  static Setup typical(long seed) {
    return new Setup(3, 2, 2, 1, 3, 100, 0.2, 0.2, 10, 500, 0, seed);
  }

  Setup withSummaryDelay(long millis) {
    return new Setup(
        regionCount,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slotsPerTarget,
        meanServiceMillis,
        regionGainFraction,
        targetGainFraction,
        windowSeconds,
        millis,
        summaryLossProbability,
        seed);
  }

  Setup withSummaryLoss(double probability) {
    return new Setup(
        regionCount,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slotsPerTarget,
        meanServiceMillis,
        regionGainFraction,
        targetGainFraction,
        windowSeconds,
        summaryDelayMillis,
        probability,
        seed);
  }

  Setup withShiftCaps(double newGainFraction, int newWindowSeconds) {
    return new Setup(
        regionCount,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slotsPerTarget,
        meanServiceMillis,
        newGainFraction,
        newGainFraction,
        newWindowSeconds,
        summaryDelayMillis,
        summaryLossProbability,
        seed);
  }

  /**
   * Lets targets grow faster than their region's share, so that only the shares limit admission.
   */
  Setup withTargetGainFraction(double newGainFraction) {
    return new Setup(
        regionCount,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slotsPerTarget,
        meanServiceMillis,
        regionGainFraction,
        newGainFraction,
        windowSeconds,
        summaryDelayMillis,
        summaryLossProbability,
        seed);
  }

  /** Divides the targets of each region among a different number of gates. */
  Setup withGates(int newZones, int newVmsPerZone, int newTargetsPerVm) {
    return new Setup(
        regionCount,
        newZones,
        newVmsPerZone,
        newTargetsPerVm,
        slotsPerTarget,
        meanServiceMillis,
        regionGainFraction,
        targetGainFraction,
        windowSeconds,
        summaryDelayMillis,
        summaryLossProbability,
        seed);
  }

  int targetCount() {
    return regionCount * zonesPerRegion * vmsPerZone * targetsPerVm;
  }

  double targetCapacityPerSecond() {
    return slotsPerTarget * 1000 / meanServiceMillis;
  }

  double regionCapacityPerSecond() {
    return targetCapacityPerSecond() * zonesPerRegion * vmsPerZone * targetsPerVm;
  }

  /** Requests by which a window of one target may exceed the preceding window. */
  int targetGainRequests() {
    return Math.max(1, (int) (targetGainFraction * targetCapacityPerSecond() * windowSeconds));
  }

  /** Requests by which a window of one region may exceed the preceding window. */
  int regionGainRequests() {
    return Math.max(1, (int) (regionGainFraction * regionCapacityPerSecond() * windowSeconds));
  }

  Contract contract() {
    List<Contract.Region> contractRegions = new ArrayList<>();
    List<Contract.ClientBlocks> blocks = new ArrayList<>();
    for (int region = 0; region < regionCount; region++) {
      List<String> zones = new ArrayList<>();
      for (int zone = 0; zone < zonesPerRegion; zone++) {
        zones.add("r" + region + "z" + zone);
      }
      contractRegions.add(new Contract.Region("r" + region, zones));
      blocks.add(new Contract.ClientBlocks(region, region, "r" + region));
    }
    return new Contract(
        CUSTOMER,
        1,
        contractRegions,
        new Contract.Delays(1, 20, 1),
        blocks,
        List.of(),
        List.of(service()));
  }

  Contract.Service service() {
    Duration window = Duration.ofSeconds(windowSeconds);
    Contract.ShiftCap regionCap = new Contract.ShiftCap(regionGainFraction, window);
    Contract.ShiftCap targetCap = new Contract.ShiftCap(targetGainFraction, window);
    return new Contract.Service(
        SERVICE,
        RequestClass.INTERACTIVE,
        true,
        targetCount(),
        slotsPerTarget,
        330,
        meanServiceMillis,
        8,
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        0.1,
        regionCap,
        targetCap);
  }
}
