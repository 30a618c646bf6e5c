package org.sageladder.bench.controlcost;

import java.io.IOException;
import java.util.List;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.Sample;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoreException;

/**
 * Measures processor time, memory and bytes of the control plane for each entry VM while the number
 * of zones, entry VMs, targets, client blocks or changes grows, compared with a small fleet.
 *
 * <p>Each fleet runs for a minute before it is measured, and JIT compiler threads are reported
 * separately. During the first minute much of the code is interpreted and costs twice as much,
 * which is not representative of a process that runs for days.
 */
public final class ControlCostBench {
  private static final int HEAP_MEGABYTES = 64;
  private static final long SETTLE_MILLIS = 60_000;
  private static final double MAX_BYTES_PER_SECOND = 7_000;
  private static final double MAX_CPU_PERCENT = 1.6;

  private final long measureMillis;
  private double maxBytesPerSecond;
  private double maxCpuPercent;

  private ControlCostBench(long measureMillis) {
    this.measureMillis = measureMillis;
  }

  /** With {@code --full}, measures longer and more fleets. */
  public static void main(String[] args) throws Exception {
    boolean full = List.of(args).contains("--full");
    ControlCostBench bench = new ControlCostBench(full ? 30_000 : 6_000);
    System.out.println(
        "zones VMs targets ranges changes/s |  CPU %  most compiling | bytes/s   most | resident MB");
    bench.measure(3, 8, 12, 20, 0);
    bench.measure(12, 2, 12, 20, 0);
    if (full) {
      bench.measure(3, 2, 12, 20, 0);
      bench.measure(12, 1, 12, 20, 0);
      bench.measure(30, 1, 30, 20, 0);
      bench.measure(3, 2, 240, 20, 0);
      bench.measure(3, 2, 12, 5_000, 0);
      bench.measure(3, 2, 12, 20, 2);
    }
    bench.measure(3, 2, 12, 5_000, 2);
    System.out.printf(
        "control-cost: %.0f bytes/s and %.2f %% of a core at the busiest VM measured"
            + " (aim <= %.0f and <= %.1f)%n",
        bench.maxBytesPerSecond, bench.maxCpuPercent, MAX_BYTES_PER_SECOND, MAX_CPU_PERCENT);
    boolean hasPassed =
        bench.maxBytesPerSecond <= MAX_BYTES_PER_SECOND && bench.maxCpuPercent <= MAX_CPU_PERCENT;
    System.exit(hasPassed ? 0 : 1);
  }

  private void measure(int zones, int vmsPerZone, int targets, int ranges, int changesPerSecond)
      throws IOException, InterruptedException, StoreException {
    Contract contract = Contracts.of(zones, targets, ranges);
    FleetOptions options = new FleetOptions(contract, vmsPerZone, HEAP_MEGABYTES);
    try (Fleet fleet = Fleet.start(options)) {
      // Excludes start-up and the initial balancing of targets, at 4 moves per second and zone.
      Thread.sleep(SETTLE_MILLIS + 1_000L * targets / zones / 8);
      ProcessorTimes before = ProcessorTimes.ofChildren();
      Sample sample =
          Sample.measure(
              fleet, measureMillis, work -> writeChanges(fleet, contract, changesPerSecond, work));
      ProcessorTimes.CoreShares cpu = ProcessorTimes.ofChildren().since(before);
      System.out.printf(
          "%5d %3d %7d %6d %9d | %6.2f %5.2f %9.2f | %7.0f %6.0f | %6.1f%n",
          zones,
          zones * vmsPerZone,
          targets,
          ranges,
          changesPerSecond,
          cpu.meanPercent(),
          cpu.maxPercent(),
          cpu.meanCompilerPercent(),
          sample.meanBytesPerSecond(),
          sample.maxBytesPerSecond(),
          sample.meanResidentMegabytes());
      maxBytesPerSecond = Math.max(maxBytesPerSecond, sample.maxBytesPerSecond());
      maxCpuPercent = Math.max(maxCpuPercent, cpu.maxPercent());
    }
  }

  private static void writeChanges(Fleet fleet, Contract contract, int perSecond, long millis)
      throws InterruptedException {
    if (perSecond == 0) {
      return;
    }
    long changes = perSecond * millis / 1_000;
    for (int i = 0; i < changes; i++) {
      try {
        fleet.writeContract(Contracts.withMeanServiceMillis(contract, 20 + i % 9));
      } catch (StoreException e) {
        throw new IllegalStateException(
            "the store stand-in failed although no fault was injected", e);
      }
      Thread.sleep(1_000 / perSecond);
    }
  }
}
