package org.sageladder.bench.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.sageladder.bench.fleet.Contracts;
import org.sageladder.bench.fleet.Fleet;
import org.sageladder.bench.fleet.FleetOptions;
import org.sageladder.bench.fleet.FleetVm;
import org.sageladder.client.Answer;
import org.sageladder.client.ClientOptions;
import org.sageladder.client.Request;
import org.sageladder.client.SageladderClient;
import org.sageladder.core.contract.Contract;
import org.sageladder.standin.store.StoreFaults;

/**
 * Measures at a constant request rate how many requests fail during a store outage, how long
 * requests fail after the loss of a complete zone, whether the shift caps hold meanwhile, and how
 * long targets are idle after the loss of only the entry VMs of their zone.
 */
public final class RecoveryBench {
  private static final int ZONES = 4;
  private static final int VMS_PER_ZONE = 2;
  private static final int TARGETS = 16;
  private static final int HEAP_MEGABYTES = 64;
  private static final int REQUESTS_PER_SECOND = 300;
  private static final int CALLERS = 128;
  private static final long MIN_CALM_MILLIS = 1_000;
  private static final long WARM_UP_MILLIS = 15_000;
  private static final long SAMPLE_MILLIS = 100;
  private static final long TAKEOVER_LOAD_MILLIS = 20_000;
  private static final double AIM_SECONDS = 10;
  private static final double AIM_TAKEOVER_SECONDS = 15;
  // Small enough that the callers of the lost zone cannot all shift to one region at the same time.
  private static final double CAP_GAIN_FRACTION = 0.1;
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  private final Contract contract = contract();
  private final ShiftCapCheck capCheck = new ShiftCapCheck();
  private final SageladderClient client;
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger nextRequest = new AtomicInteger();
  private final long startNanos = System.nanoTime();

  private RecoveryBench(SageladderClient client) {
    this.client = client;
  }

  private record Outcome(long dueMillis, long endMillis, boolean isComplete, String name) {}

  /** Simulates a store outage of 15 seconds, or of ten minutes with {@code --full}. */
  public static void main(String[] args) throws Exception {
    long outageMillis = List.of(args).contains("--full") ? 600_000 : 15_000;
    FleetOptions options = new FleetOptions(contract(), VMS_PER_ZONE, HEAP_MEGABYTES, true);
    long failedInOutage;
    double recoverySeconds;
    double takeoverSeconds;
    double capUsage;
    try (Fleet fleet = Fleet.start(options)) {
      List<String> seeds = fleet.vms().stream().map(FleetVm::callersAddress).toList();
      try (SageladderClient client = SageladderClient.start(ClientOptions.seeds(seeds))) {
        RecoveryBench bench = new RecoveryBench(client);
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        ScheduledFuture<?> unused =
            sampler.scheduleAtFixedRate(
                () -> bench.capCheck.recordSample(fleet.startedRequestCounts()),
                0,
                SAMPLE_MILLIS,
                TimeUnit.MILLISECONDS);
        bench.runLoad(WARM_UP_MILLIS);
        bench.printSummary("before", 0, bench.elapsedMillis());
        failedInOutage = bench.countFailuresInOutage(fleet, outageMillis);
        recoverySeconds = bench.measureZoneRecoverySeconds(fleet);
        takeoverSeconds = bench.measureTakeoverSeconds(fleet);
        sampler.shutdownNow();
        capUsage = bench.maxCapUsage();
      }
    }
    System.out.printf(
        "requests not answered whole in the store outage: %d (aim = 0)%n", failedInOutage);
    System.out.printf(
        "gain allowed by the caps that was used at most: %.0f %% (aim <= 100)%n", 100 * capUsage);
    System.out.printf(
        "targets without entry VMs of their zone work again after %.1f s (aim <= %.0f s)%n",
        takeoverSeconds, AIM_TAKEOVER_SECONDS);
    System.out.printf(
        "recovery: %.1f s until callers of a lost zone are all answered (aim <= %.0f s)%n",
        recoverySeconds, AIM_SECONDS);
    boolean hasPassed = failedInOutage == 0 && recoverySeconds <= AIM_SECONDS && capUsage <= 1;
    System.exit(hasPassed && takeoverSeconds <= AIM_TAKEOVER_SECONDS ? 0 : 1);
  }

  private static Contract contract() {
    Contract plain = Contracts.of(ZONES, TARGETS, 100);
    Contract.ShiftCap cap = new Contract.ShiftCap(CAP_GAIN_FRACTION, Duration.ofSeconds(5));
    return plain.withServices(service -> service.withShiftCaps(cap, cap));
  }

  /** Largest used fraction of the allowed gain of any target or region over the whole run. */
  private double maxCapUsage() {
    Contract.Service service = contract.services().get(0);
    List<ShiftCapCheck.CapUsage> usages = new ArrayList<>();
    for (int target = 0; target < TARGETS; target++) {
      String id = "search-" + target;
      usages.add(
          capCheck.maxUsage(id, List.of(id), service.targetShiftCap(), service.targetCapacity()));
    }
    for (Contract.Region region : contract.regions()) {
      List<String> targets =
          region.zones().stream().flatMap(zone -> targets(zone).stream()).toList();
      double capacity = targets.size() * service.targetCapacity();
      usages.add(capCheck.maxUsage(region.name(), targets, service.regionShiftCap(), capacity));
    }
    usages.sort(Comparator.comparingDouble(ShiftCapCheck.CapUsage::fraction).reversed());
    for (ShiftCapCheck.CapUsage usage : usages.subList(0, 3)) {
      System.out.printf(
          "  %.0f %% of the gain allowed toward %s, %.1f s into the run%n",
          100 * usage.fraction(), usage.scope(), (usage.nanos() - startNanos) / 1e9);
    }
    return usages.get(0).fraction();
  }

  private static List<String> targets(String zone) {
    return IntStream.range(0, TARGETS)
        .filter(target -> Contracts.zone(target % ZONES).equals(zone))
        .mapToObj(target -> "search-" + target)
        .toList();
  }

  private double measureTakeoverSeconds(Fleet fleet) throws InterruptedException {
    String zone = Contracts.zone(ZONES - 1);
    long fromMillis = elapsedMillis();
    fleet.killEntryVms(zone);
    long lostNanos = System.nanoTime();
    runLoad(TAKEOVER_LOAD_MILLIS);
    printSummary("entry VMs lost", fromMillis, elapsedMillis());
    // Requests that the lost VMs had already sent are started within the first half second.
    long settled = lostNanos + TimeUnit.MILLISECONDS.toNanos(500);
    long first = capCheck.firstStartAfter(settled, targets(zone));
    return first < 0 ? Double.POSITIVE_INFINITY : (first - lostNanos) / 1e9;
  }

  private long countFailuresInOutage(Fleet fleet, long millis) throws InterruptedException {
    long fromMillis = elapsedMillis();
    fleet.store().setFaults(StoreFaults.none().withDown(true));
    runLoad(millis);
    fleet.store().setFaults(StoreFaults.none());
    long toMillis = elapsedMillis();
    runLoad(4_000);
    printSummary("store down " + millis / 1_000 + " s", fromMillis, toMillis);
    return outcomes.stream()
        .filter(
            each ->
                each.dueMillis() >= fromMillis && each.dueMillis() < toMillis && !each.isComplete())
        .count();
  }

  private double measureZoneRecoverySeconds(Fleet fleet) throws InterruptedException {
    ScheduledExecutorService killer = Executors.newSingleThreadScheduledExecutor();
    long lostAtMillis = elapsedMillis() + 500;
    ScheduledFuture<?> unused = killer.schedule(() -> killZone(fleet), 500, TimeUnit.MILLISECONDS);
    runLoad(25_000);
    killer.shutdown();
    printSummary("zone lost", lostAtMillis, elapsedMillis());
    long lastFailureMillis =
        outcomes.stream()
            .filter(each -> each.dueMillis() >= lostAtMillis && !each.isComplete())
            .mapToLong(Outcome::dueMillis)
            .max()
            .orElse(lostAtMillis);
    if (elapsedMillis() - lastFailureMillis < DEADLINE.toMillis() + MIN_CALM_MILLIS) {
      return Double.POSITIVE_INFINITY;
    }
    return (lastFailureMillis - lostAtMillis) / 1e3;
  }

  private static void killZone(Fleet fleet) {
    try {
      fleet.killZone(Contracts.zone(0));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Open-loop load: sends requests of all regions in turn at a constant rate, regardless of
   * responses.
   */
  private void runLoad(long millis) throws InterruptedException {
    ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    ScheduledFuture<?> arrivals =
        clock.scheduleAtFixedRate(
            () -> startRequest(callers), 0, 1_000_000 / REQUESTS_PER_SECOND, TimeUnit.MICROSECONDS);
    Thread.sleep(millis);
    arrivals.cancel(false);
    clock.shutdown();
    callers.shutdown();
    callers.awaitTermination(2 * DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void startRequest(ExecutorService callers) {
    long dueMillis = elapsedMillis();
    Contract.ClientBlocks range =
        contract.clientBlocks().get(nextRequest.getAndIncrement() % contract.clientBlocks().size());
    Request request =
        Request.get(contract.customer(), "search", range.first(), "/item").deadline(DEADLINE);
    callers.execute(
        () -> {
          Answer answer = client.send(request);
          outcomes.add(
              new Outcome(
                  dueMillis, elapsedMillis(), answer instanceof Answer.Complete, name(answer)));
        });
  }

  private static String name(Answer answer) {
    if (answer instanceof Answer.NotRun notRun) {
      return "not run " + notRun.code();
    }
    if (answer instanceof Answer.Unknown unknown) {
      return "unknown " + unknown.code();
    }
    return answer instanceof Answer.Complete ? "whole" : "other";
  }

  private void printSummary(String phase, long fromMillis, long toMillis) {
    Map<String, Integer> names = new TreeMap<>();
    long slowest = 0;
    for (Outcome each : outcomes) {
      if (each.dueMillis() >= fromMillis && each.dueMillis() < toMillis) {
        names.merge(each.name(), 1, Integer::sum);
        slowest = Math.max(slowest, each.endMillis() - each.dueMillis());
      }
    }
    System.out.printf(
        "%5.1f to %5.1f s, %-16s %s, slowest %d ms%n",
        fromMillis / 1e3, toMillis / 1e3, phase, names, slowest);
  }

  private long elapsedMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}
