package org.sageladder.bench.storecalls;

import java.io.IOException;
import java.util.List;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.Sample;
import org.sageladder.core.store.StoreException;

/**
 * Measures calls to the platform a second as zones grow with the number of entry VMs fixed, and as
 * entry VMs grow with the number of zones fixed, and works out what the target size would make.
 */
public final class StoreCallsBench {
  private static final int HEAP_MEGABYTES = 40;
  private static final int TARGET_ZONES = 94;
  private static final int TARGET_VMS = 2_500;
  private static final double MOST_CALLS_AT_TARGET = 400;
  // Entry VMs that poll four times a second, each with one read and one fetch of the list.
  private static final double POLLING_CALLS_PER_VM = 8;

  private StoreCallsBench() {}

  private record Point(int zones, int vms, double calls) {}

  /** Takes {@code --full} for longer measurements. */
  public static void main(String[] args) throws Exception {
    long millis = List.of(args).contains("--full") ? 60_000 : 8_000;
    Point fewZones = measure(2, 6, millis);
    Point moreZones = measure(6, 2, millis);
    Point fewVms = measure(3, 2, millis);
    Point moreVms = measure(3, 6, millis);
    double perZone =
        (moreZones.calls() - fewZones.calls()) / (moreZones.zones() - fewZones.zones());
    double perVm = (moreVms.calls() - fewVms.calls()) / (moreVms.vms() - fewVms.vms());
    System.out.printf("slope with zones: %.3f calls a second for each zone%n", perZone);
    System.out.printf(
        "slope with entry VMs: %.4f calls a second for each entry VM in a zone that exists%n",
        perVm);
    double atTarget = perZone * TARGET_ZONES + Math.max(0, perVm) * TARGET_VMS;
    System.out.printf(
        "worked out for %d zones and %d entry VMs: %.0f calls a second; polling by each VM: %.0f%n",
        TARGET_ZONES, TARGET_VMS, atTarget, POLLING_CALLS_PER_VM * TARGET_VMS);
    System.out.printf(
        "store-calls: %.0f calls/s at the target size (aim <= %.0f)%n",
        atTarget, MOST_CALLS_AT_TARGET);
    System.exit(atTarget <= MOST_CALLS_AT_TARGET ? 0 : 1);
  }

  private static Point measure(int zones, int vmsPerZone, long millis)
      throws IOException, InterruptedException, StoreException {
    FleetOptions options =
        new FleetOptions(Contracts.of(zones, 12, 20), vmsPerZone, HEAP_MEGABYTES);
    try (Fleet fleet = Fleet.start(options)) {
      Thread.sleep(6_000);
      Sample sample = Sample.over(fleet, millis, Sample.Work.none());
      System.out.printf(
          "%d zones, %2d entry VMs: %6.3f calls a second %s%n",
          zones, zones * vmsPerZone, sample.callsPerSecond(), sample.storeCalls());
      return new Point(zones, zones * vmsPerZone, sample.callsPerSecond());
    }
  }
}
