package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;

/**
 * Sizes and delays of one run: by default those of one service of the customers of today.
 *
 * @param gain of a region, as a fraction of its capacity in a window
 * @param targetGainFraction the same of a target
 * @param readingDelayMillis age of what one region hears of another
 * @param readingLoss part of the readings that never arrive, 0 to 1
 */
record Setup(
    int regions,
    int zonesPerRegion,
    int vmsPerZone,
    int targetsPerVm,
    int slots,
    double meanMillis,
    double gain,
    double targetGainFraction,
    int windowSeconds,
    long readingDelayMillis,
    double readingLoss,
    long seed) {
  static final String CUSTOMER = "c";
  static final String SERVICE = "s";

  static Setup today(long seed) {
    return new Setup(3, 2, 2, 1, 3, 100, 0.2, 0.2, 10, 500, 0, seed);
  }

  Setup withDelay(long millis) {
    return new Setup(
        regions,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slots,
        meanMillis,
        gain,
        targetGainFraction,
        windowSeconds,
        millis,
        readingLoss,
        seed);
  }

  Setup withLoss(double loss) {
    return new Setup(
        regions,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slots,
        meanMillis,
        gain,
        targetGainFraction,
        windowSeconds,
        readingDelayMillis,
        loss,
        seed);
  }

  Setup withCap(double newGain, int newWindowSeconds) {
    return new Setup(
        regions,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slots,
        meanMillis,
        newGain,
        newGain,
        newWindowSeconds,
        readingDelayMillis,
        readingLoss,
        seed);
  }

  /** Targets that may grow faster than their region's share, so that only the shares bind. */
  Setup withTargetGain(double newGain) {
    return new Setup(
        regions,
        zonesPerRegion,
        vmsPerZone,
        targetsPerVm,
        slots,
        meanMillis,
        gain,
        newGain,
        windowSeconds,
        readingDelayMillis,
        readingLoss,
        seed);
  }

  /** The same targets in each region, held by another number of gates. */
  Setup withGates(int newZones, int newVmsPerZone, int newTargetsPerVm) {
    return new Setup(
        regions,
        newZones,
        newVmsPerZone,
        newTargetsPerVm,
        slots,
        meanMillis,
        gain,
        targetGainFraction,
        windowSeconds,
        readingDelayMillis,
        readingLoss,
        seed);
  }

  int targets() {
    return regions * zonesPerRegion * vmsPerZone * targetsPerVm;
  }

  double targetCapacity() {
    return slots * 1000 / meanMillis;
  }

  double regionCapacity() {
    return targetCapacity() * zonesPerRegion * vmsPerZone * targetsPerVm;
  }

  /** Requests by which a window of one target may outgrow the window before. */
  int targetGain() {
    return Math.max(1, (int) (targetGainFraction * targetCapacity() * windowSeconds));
  }

  /** Requests by which a window of one region may outgrow the window before. */
  int regionGain() {
    return Math.max(1, (int) (gain * regionCapacity() * windowSeconds));
  }

  Contract contract() {
    List<Contract.Region> all = new ArrayList<>();
    List<Contract.ClientBlocks> blocks = new ArrayList<>();
    for (int region = 0; region < regions; region++) {
      List<String> zones = new ArrayList<>();
      for (int zone = 0; zone < zonesPerRegion; zone++) {
        zones.add("r" + region + "z" + zone);
      }
      all.add(new Contract.Region("r" + region, zones));
      blocks.add(new Contract.ClientBlocks(region, region, "r" + region));
    }
    return new Contract(
        CUSTOMER, 1, all, new Contract.Delays(1, 20, 1), blocks, List.of(), List.of(service()));
  }

  Contract.Service service() {
    Duration window = Duration.ofSeconds(windowSeconds);
    Contract.ShiftCap cap = new Contract.ShiftCap(gain, window);
    Contract.ShiftCap targetCap = new Contract.ShiftCap(targetGainFraction, window);
    return new Contract.Service(
        SERVICE,
        RequestClass.INTERACTIVE,
        true,
        targets(),
        slots,
        330,
        meanMillis,
        8,
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        0.1,
        cap,
        targetCap);
  }
}
