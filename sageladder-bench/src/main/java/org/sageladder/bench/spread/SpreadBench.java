package org.sageladder.bench.spread;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.FleetVm;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoreException;
import org.sageladder.standin.store.StoreFaults;

/**
 * Measures the time from the acceptance of a change until it is in force on every entry VM, with 42
 * processes in 6 zones: without faults, with a slow store, with relays killed during the
 * propagation, and after a pause of a zone.
 */
public final class SpreadBench {
  private static final int ZONES = 6;
  private static final int VMS_PER_ZONE = 7;
  private static final int HEAP_MEGABYTES = 40;
  private static final double AIM_SECONDS = 2;
  private static final double AIM_AFTER_RELAY_LOSS_SECONDS = 6;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Fleet fleet;
  private final int changes;
  private int changeNumber;

  private SpreadBench(Fleet fleet, int changes) {
    this.fleet = fleet;
    this.changes = changes;
  }

  /** Writes 20 changes, or 100 with {@code --full}. */
  public static void main(String[] args) throws Exception {
    int changes = List.of(args).contains("--full") ? 100 : 20;
    Contract contract = Contracts.of(ZONES, 24, 200);
    double maxSeconds;
    double maxSecondsAfterRelayLoss;
    long startNanos = System.nanoTime();
    try (Fleet fleet = Fleet.start(new FleetOptions(contract, VMS_PER_ZONE, HEAP_MEGABYTES))) {
      System.out.printf(
          "%d entry VMs in %d zones started in %.1f s%n",
          fleet.vms().size(), ZONES, (System.nanoTime() - startNanos) / 1e9);
      SpreadBench bench = new SpreadBench(fleet, changes);
      maxSeconds = bench.measureWithoutFaults();
      bench.measureSlowStore();
      bench.measurePausedZone();
      maxSecondsAfterRelayLoss = bench.measureRelayLoss();
      System.out.println("reverts seen: " + fleet.reverts().size());
    }
    System.out.printf(
        "spread after a relay's death: %.3f s (aim <= %.0f s)%n",
        maxSecondsAfterRelayLoss, AIM_AFTER_RELAY_LOSS_SECONDS);
    boolean hasPassed =
        maxSeconds <= AIM_SECONDS && maxSecondsAfterRelayLoss <= AIM_AFTER_RELAY_LOSS_SECONDS;
    System.out.printf("spread: %.3f s (aim <= %.0f s)%n", maxSeconds, AIM_SECONDS);
    System.exit(hasPassed ? 0 : 1);
  }

  private double measureWithoutFaults() throws IOException, InterruptedException, StoreException {
    Histogram times = histogram();
    for (int i = 0; i < changes; i++) {
      recordSpreadTimes(times, writeChange(), TIMEOUT);
    }
    return report("no faults", times);
  }

  private void measureSlowStore() throws IOException, InterruptedException, StoreException {
    Histogram times = histogram();
    fleet.store().setFaults(StoreFaults.none().withSlowMillis(500));
    for (int i = 0; i < Math.max(3, changes / 5); i++) {
      recordSpreadTimes(times, writeChange(), TIMEOUT);
    }
    fleet.store().setFaults(StoreFaults.none());
    report("store takes 500 ms a call", times);
  }

  /** Pauses all VMs of a zone while a change is accepted, then resumes them. */
  private void measurePausedZone() throws IOException, InterruptedException, StoreException {
    Histogram otherZonesTimes = histogram();
    Histogram resumedZoneTimes = histogram();
    String zone = Contracts.zone(2);
    List<FleetVm> paused = fleet.vms().stream().filter(vm -> vm.zone().equals(zone)).toList();
    for (FleetVm vm : paused) {
      vm.pause();
    }
    Thread.sleep(5_000);
    Fleet.Acceptance accepted = writeChange();
    Map<String, Long> otherZones =
        fleet.awaitRevision(accepted.revision(), TIMEOUT, vm -> !vm.zone().equals(zone));
    otherZones
        .values()
        .forEach(micros -> otherZonesTimes.recordValue(micros - accepted.sentMicros()));
    long resumedMicros = System.currentTimeMillis() * 1_000;
    for (FleetVm vm : paused) {
      vm.resume();
    }
    Map<String, Long> resumedZone =
        fleet.awaitRevision(accepted.revision(), TIMEOUT, vm -> vm.zone().equals(zone));
    resumedZone
        .values()
        .forEach(micros -> resumedZoneTimes.recordValue(Math.max(0, micros - resumedMicros)));
    report("one zone paused, the others", otherZonesTimes);
    report("that zone after it goes on", resumedZoneTimes);
  }

  /** Kills the relays of two zones, one just before and one just after a change is accepted. */
  private double measureRelayLoss() throws IOException, InterruptedException, StoreException {
    Histogram times = histogram();
    int rounds = changes >= 100 ? 4 : 2;
    for (int i = 0; i < rounds; i++) {
      FleetVm first = fleet.relay(Contracts.zone(i % ZONES));
      FleetVm second = fleet.relay(Contracts.zone((i + 3) % ZONES));
      first.kill();
      Fleet.Acceptance accepted = writeChange();
      second.kill();
      recordSpreadTimes(times, accepted, TIMEOUT);
      recordSpreadTimes(times, writeChange(), TIMEOUT);
      first.restart();
      second.restart();
      fleet.awaitRevision(accepted.revision(), TIMEOUT, vm -> true);
      fleet.awaitViews(TIMEOUT);
    }
    return report("two relays ended at once", times);
  }

  private Fleet.Acceptance writeChange() throws StoreException {
    changeNumber++;
    return fleet.writeContract(
        Contracts.withMeanServiceMillis(Contracts.of(ZONES, 24, 200), 20 + changeNumber % 10));
  }

  private void recordSpreadTimes(Histogram times, Fleet.Acceptance accepted, Duration timeout)
      throws IOException, InterruptedException {
    Thread.sleep(200);
    Map<String, Long> inForceMicros = fleet.awaitRevision(accepted.revision(), timeout, vm -> true);
    inForceMicros
        .values()
        .forEach(micros -> times.recordValue(Math.max(0, micros - accepted.sentMicros())));
  }

  private static Histogram histogram() {
    return new Histogram(60_000_000L, 3);
  }

  private static double report(String phase, Histogram times) {
    System.out.printf(
        "%-28s p50 %7.3f s, p99 %7.3f s, max %7.3f s (%d samples)%n",
        phase,
        times.getValueAtPercentile(50) / 1e6,
        times.getValueAtPercentile(99) / 1e6,
        times.getMaxValue() / 1e6,
        times.getTotalCount());
    return times.getMaxValue() / 1e6;
  }
}
