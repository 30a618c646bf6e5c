package org.sageladder.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;

/** Creates contracts of any size. */
public final class Contracts {
  private static final int ZONES_PER_REGION = 2;

  private Contracts() {}

  /**
   * A contract of one customer with one service.
   *
   * @param zones number of zones, two in each region
   * @param targets number of targets of the service
   * @param blockRanges number of ranges of client blocks, which make up most of a large contract
   */
  public static Contract of(int zones, int targets, int blockRanges) {
    List<Contract.Region> regions = new ArrayList<>();
    for (int first = 0; first < zones; first += ZONES_PER_REGION) {
      List<String> names = new ArrayList<>();
      for (int z = first; z < Math.min(zones, first + ZONES_PER_REGION); z++) {
        names.add(zone(z));
      }
      regions.add(new Contract.Region("region-" + first / ZONES_PER_REGION, names));
    }
    List<Contract.ClientBlocks> blocks = new ArrayList<>();
    for (int i = 0; i < blockRanges; i++) {
      String region = regions.get(i % regions.size()).name();
      blocks.add(new Contract.ClientBlocks(i * 4, i * 4 + 3, region));
    }
    return new Contract(
        "bench",
        0,
        regions,
        new Contract.Delays(1, 20, 5),
        blocks,
        List.of(),
        List.of(service(targets, 20)));
  }

  /** Name of the zone with this number. */
  public static String zone(int number) {
    return String.format("zone-%02d", number);
  }

  /** The same contract with another mean service time, which changes a single line. */
  public static Contract withMeanServiceMillis(Contract contract, double millis) {
    Contract.Service old = contract.services().get(0);
    return new Contract(
        contract.customer(),
        0,
        contract.regions(),
        contract.delays(),
        contract.clientBlocks(),
        contract.linkLimits(),
        List.of(service(old.targets(), millis)));
  }

  private static Contract.Service service(int targets, double millis) {
    Contract.ShiftCap cap = new Contract.ShiftCap(0.25, Duration.ofSeconds(5));
    return new Contract.Service(
        "search",
        RequestClass.INTERACTIVE,
        true,
        targets,
        3,
        330,
        millis,
        6,
        Duration.ofMillis(500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10),
        0.1,
        cap,
        cap);
  }
}
