package org.sageladder.bench.storecalls;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.FleetVm;
import org.sageladder.bench.fleet.Sample;
import org.sageladder.core.store.StoreException;

/**
 * Measures calls to the platform per second with the same number of entry VMs in few and in many
 * zones, and the calls of entry VMs that are not relays, and extrapolates both to the target size.
 *
 * <p>Relays make calls about once per second, so a short measurement may be off by one call of each
 * kind and zone. Calls of other entry VMs are read from their own metrics, where a single call is
 * visible.
 */
public final class StoreCallsBench {
  private static final int HEAP_MEGABYTES = 40;
  private static final int FEW_ZONES = 2;
  private static final int MANY_ZONES = 6;
  private static final int VMS = 12;
  private static final int TARGET_ZONES = 94;
  private static final int TARGET_VMS = 2_500;
  // Capacity of the platform: several hundred writes per second, assumed to be 300, and 2,000 reads
  // per second.
  private static final double MAX_PLATFORM_WRITES_PER_SECOND = 300;
  private static final double MAX_PLATFORM_READS_PER_SECOND = 2_000;
  private static final double AIM_PERCENT = 50;
  // For comparison: polling four times per second, each time with one read and one fetch of the
  // list.
  private static final double POLLING_READS_PER_SECOND_PER_VM = 8;
  private static final List<String> READ_CALLS = List.of("read", "list", "watch", "vms");

  private StoreCallsBench() {}

  private record CallRates(
      double readsPerSecond, double writesPerSecond, double callsPerNonRelay) {}

  /** With {@code --full}, measures longer. */
  public static void main(String[] args) throws Exception {
    long millis = List.of(args).contains("--full") ? 120_000 : 15_000;
    CallRates fewZones = measure(FEW_ZONES, millis);
    CallRates manyZones = measure(MANY_ZONES, millis);
    double readsPerZone =
        (manyZones.readsPerSecond() - fewZones.readsPerSecond()) / (MANY_ZONES - FEW_ZONES);
    double writesPerZone =
        (manyZones.writesPerSecond() - fewZones.writesPerSecond()) / (MANY_ZONES - FEW_ZONES);
    double callsPerVm = fewZones.callsPerNonRelay();
    System.out.printf(
        "slope with zones at %d entry VMs: %.2f reads and %.2f writes a second for each zone%n",
        VMS, readsPerZone, writesPerZone);
    System.out.printf(
        "slope with entry VMs at fixed zones: %.4f calls a second for each%n", callsPerVm);
    double reads = readsPerZone * TARGET_ZONES + callsPerVm * TARGET_VMS;
    double writes = writesPerZone * TARGET_ZONES;
    System.out.printf(
        "worked out for %d zones and %d entry VMs: %.0f reads and %.0f writes a second;"
            + " polling by each entry VM: %.0f reads%n",
        TARGET_ZONES, TARGET_VMS, reads, writes, POLLING_READS_PER_SECOND_PER_VM * TARGET_VMS);
    double percent =
        100
            * Math.max(
                reads / MAX_PLATFORM_READS_PER_SECOND, writes / MAX_PLATFORM_WRITES_PER_SECOND);
    System.out.printf(
        "store-calls: %.0f %% of the platform's rates at the target size (aim <= %.0f)%n",
        percent, AIM_PERCENT);
    System.exit(percent <= AIM_PERCENT ? 0 : 1);
  }

  private static CallRates measure(int zones, long millis)
      throws IOException, InterruptedException, StoreException {
    FleetOptions options =
        new FleetOptions(Contracts.of(zones, VMS, 20), VMS / zones, HEAP_MEGABYTES);
    try (Fleet fleet = Fleet.start(options)) {
      Thread.sleep(6_000);
      double callsBefore = nonRelayCalls(fleet);
      Sample sample = Sample.measure(fleet, millis, Sample.Work.none());
      int nonRelayCount = Math.max(1, VMS - zones);
      double callsPerNonRelay =
          (nonRelayCalls(fleet) - callsBefore) / sample.seconds() / nonRelayCount;
      double reads = 0;
      double writes = 0;
      for (Map.Entry<String, Long> call : sample.storeCalls().entrySet()) {
        if (READ_CALLS.contains(call.getKey())) {
          reads += call.getValue() / sample.seconds();
        } else {
          writes += call.getValue() / sample.seconds();
        }
      }
      System.out.printf(
          "%d zones, %d entry VMs: %.2f reads and %.2f writes a second %s%n",
          zones, VMS, reads, writes, sample.storeCalls());
      return new CallRates(reads, writes, callsPerNonRelay);
    }
  }

  private static double nonRelayCalls(Fleet fleet) throws IOException {
    double calls = 0;
    for (FleetVm vm : fleet.vms()) {
      if (Fleet.isRelay(vm)) {
        continue;
      }
      for (Map.Entry<String, Double> meter : vm.meters().entrySet()) {
        if (meter.getKey().startsWith("sageladder_store_calls_total")) {
          calls += meter.getValue();
        }
      }
    }
    return calls;
  }
}
