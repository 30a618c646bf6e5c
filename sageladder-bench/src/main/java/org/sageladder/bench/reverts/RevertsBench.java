package org.sageladder.bench.reverts;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.FleetVm;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WriteResult;
import org.sageladder.platform.contract.StoredContract;
import org.sageladder.standin.store.StoreFaults;

/**
 * Writes 2,000 changes while entry VMs are killed, restarted and paused and the store is down, slow
 * or loses responses. Counts how often an entry VM puts a lower revision in force than before.
 *
 * <p>All random choices derive from one seed; the timing of the processes also depends on the
 * machine.
 */
public final class RevertsBench {
  private static final int ZONES = 4;
  private static final int VMS_PER_ZONE = 3;
  private static final int HEAP_MEGABYTES = 40;
  private static final int CHANGES = 2_000;
  private static final int STEPS_PER_FAULT = 50;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final Fleet fleet;
  private final SplittableRandom random;
  private final List<FleetVm> paused = new ArrayList<>();
  private final int[] faultCounts = new int[5];
  private int acceptedCount;
  private int unknownOutcomeCount;
  private int refusedCount;

  private RevertsBench(Fleet fleet, long seed) {
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
  }

  /** Takes {@code --full} for five times as many changes, and {@code --seed N}. */
  public static void main(String[] args) throws Exception {
    List<String> options = List.of(args);
    int changes = options.contains("--full") ? 5 * CHANGES : CHANGES;
    int seedIndex = options.indexOf("--seed");
    long seed = seedIndex < 0 ? 20261202 : Long.parseLong(options.get(seedIndex + 1));
    int reverts;
    int accepted;
    try (Fleet fleet = Fleet.start(new FleetOptions(contract(0), VMS_PER_ZONE, HEAP_MEGABYTES))) {
      RevertsBench bench = new RevertsBench(fleet, seed);
      bench.run(changes);
      bench.awaitLastRevision();
      bench.report(seed);
      reverts = fleet.reverts().size();
      accepted = bench.acceptedCount;
      fleet.reverts().forEach(System.out::println);
    }
    System.out.printf("reverts: %d reverts (aim = 0 over >= 2000 accepted changes)%n", reverts);
    System.exit(reverts == 0 && accepted >= CHANGES ? 0 : 1);
  }

  private void run(int changes) throws IOException, InterruptedException {
    int step = 0;
    while (acceptedCount < changes) {
      step++;
      tryWriteChange(step);
      if (step % STEPS_PER_FAULT == 0) {
        injectFault();
      }
      if (step % 100 == 0) {
        fleet.collectEvents(vm -> !paused.contains(vm));
      }
      Thread.sleep(5);
    }
  }

  private void tryWriteChange(int step) {
    try {
      writeChange(step);
    } catch (StoreException.OutcomeUnknown e) {
      unknownOutcomeCount++;
    } catch (StoreException e) {
      refusedCount++;
    }
  }

  private void writeChange(int step) throws StoreException {
    String key = StoredContract.keyOf("bench");
    long baseRevision = fleet.client().read(key).map(StoredValue::revision).orElse(0L);
    byte[] value = new StoredContract("change-" + step, "bench", contract(step)).toBytes();
    if (fleet.client().compareAndSet(key, baseRevision, value, null)
        instanceof WriteResult.Written) {
      acceptedCount++;
    }
  }

  private void injectFault() throws IOException, InterruptedException {
    int faultNumber = random.nextInt(5);
    faultCounts[faultNumber]++;
    List<FleetVm> vms = fleet.vms();
    FleetVm vm = vms.get(random.nextInt(vms.size()));
    resumeAll();
    switch (faultNumber) {
      case 0 -> {
        fleet.collectEvents(each -> true);
        vm.kill();
        vm.restart();
      }
      case 1 -> {
        vm.pause();
        paused.add(vm);
      }
      case 2 -> restartDuringOutage(vm);
      case 3 -> fleet.store().setFaults(StoreFaults.none().withLoseAnswers(1 + random.nextInt(5)));
      default -> fleet.store().setFaults(StoreFaults.none().withSlowMillis(1 + random.nextInt(40)));
    }
  }

  /**
   * Restarts a VM while the store is down, so that it can obtain the contract only from its peers.
   */
  private void restartDuringOutage(FleetVm vm) throws IOException, InterruptedException {
    fleet.collectEvents(each -> true);
    fleet.store().setFaults(StoreFaults.none().withDown(true));
    vm.kill();
    vm.restart();
    Thread.sleep(1_500 + random.nextInt(1_500));
    fleet.store().setFaults(StoreFaults.none());
  }

  private void resumeAll() throws IOException, InterruptedException {
    for (FleetVm vm : paused) {
      vm.resume();
    }
    paused.clear();
    fleet.store().setFaults(StoreFaults.none());
  }

  private void awaitLastRevision() throws IOException, InterruptedException, StoreException {
    resumeAll();
    Fleet.Acceptance last = fleet.writeContract(contract(7));
    fleet.awaitRevision(last.revision(), TIMEOUT, vm -> true);
  }

  private void report(long seed) {
    System.out.printf(
        "seed %d, %d entry VMs: %d changes accepted, %d answers lost, %d refused by a store outage%n",
        seed, fleet.vms().size(), acceptedCount, unknownOutcomeCount, refusedCount);
    System.out.printf(
        "faults: %d restarts, %d pauses, %d outages with a restart, %d times lost answers, "
            + "%d times a slow store%n",
        faultCounts[0], faultCounts[1], faultCounts[2], faultCounts[3], faultCounts[4]);
    System.out.println("the last revision came into force on every entry VM");
  }

  private static Contract contract(int step) {
    return Contracts.withMeanServiceMillis(Contracts.of(ZONES, 12, 50), 10 + step % 50);
  }
}
