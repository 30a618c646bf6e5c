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
 * Measures, with callers at a steady rate, what a store outage costs them, how long the callers of
 * a zone that is lost whole go without answers, whether the caps on shifts hold meanwhile, and how
 * long targets stand idle whose entry VMs alone are lost.
 */
public final class RecoveryBench {
  private static final int ZONES = 4;
  private static final int VMS_PER_ZONE = 2;
  private static final int TARGETS = 16;
  private static final int HEAP_MEGABYTES = 64;
  private static final int REQUESTS_PER_SECOND = 300;
  private static final int CALLERS = 128;
  private static final long CALM_MILLIS = 1_000;
  private static final long WARM_UP_MILLIS = 15_000;
  private static final long SAMPLE_MILLIS = 100;
  private static final long TAKE_OVER_MILLIS = 20_000;
  private static final double AIM_SECONDS = 10;
  private static final double AIM_TAKE_OVER_SECONDS = 15;
  // Small enough that the lost zone's callers cannot all go to one place at once.
  private static final double CAP_GAIN = 0.1;
  private static final Duration DEADLINE = Duration.ofSeconds(2);

  private final Contract contract = contract();
  private final ShiftCapCheck caps = new ShiftCapCheck();
  private final SageladderClient client;
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger next = new AtomicInteger();
  private final long startNanos = System.nanoTime();

  private RecoveryBench(SageladderClient client) {
    this.client = client;
  }

  private record Outcome(long dueMillis, long endMillis, boolean whole, String name) {}

  /** Takes {@code --full} for a store outage of ten minutes instead of fifteen seconds. */
  public static void main(String[] args) throws Exception {
    long outageMillis = List.of(args).contains("--full") ? 600_000 : 15_000;
    FleetOptions options = new FleetOptions(contract(), VMS_PER_ZONE, HEAP_MEGABYTES, true);
    long refused;
    double recovered;
    double takenOver;
    double capUsed;
    try (Fleet fleet = Fleet.start(options)) {
      List<String> seeds = fleet.vms().stream().map(FleetVm::callers).toList();
      try (SageladderClient client = SageladderClient.start(ClientOptions.seeds(seeds))) {
        RecoveryBench bench = new RecoveryBench(client);
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        ScheduledFuture<?> unused =
            sampler.scheduleAtFixedRate(
                () -> bench.caps.sample(fleet.started()), 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
        bench.load(WARM_UP_MILLIS);
        bench.summary("before", 0, bench.now());
        refused = bench.outage(fleet, outageMillis);
        recovered = bench.lostZone(fleet);
        takenOver = bench.lostEntryVms(fleet);
        sampler.shutdownNow();
        capUsed = bench.capUsed();
      }
    }
    System.out.printf("requests not answered whole in the store outage: %d (aim = 0)%n", refused);
    System.out.printf(
        "gain allowed by the caps that was used at most: %.0f %% (aim <= 100)%n", 100 * capUsed);
    System.out.printf(
        "targets without entry VMs of their zone work again after %.1f s (aim <= %.0f s)%n",
        takenOver, AIM_TAKE_OVER_SECONDS);
    System.out.printf(
        "recovery: %.1f s until callers of a lost zone are all answered (aim <= %.0f s)%n",
        recovered, AIM_SECONDS);
    boolean good = refused == 0 && recovered <= AIM_SECONDS && capUsed <= 1;
    System.exit(good && takenOver <= AIM_TAKE_OVER_SECONDS ? 0 : 1);
  }

  private static Contract contract() {
    Contract plain = Contracts.of(ZONES, TARGETS, 100);
    Contract.ShiftCap cap = new Contract.ShiftCap(CAP_GAIN, Duration.ofSeconds(5));
    return plain.withServices(service -> service.withShiftCaps(cap, cap));
  }

  /** Largest share of the gain allowed toward any target or region over the whole run. */
  private double capUsed() {
    Contract.Service service = contract.services().get(0);
    List<ShiftCapCheck.Used> all = new ArrayList<>();
    for (int target = 0; target < TARGETS; target++) {
      String id = "search-" + target;
      all.add(caps.used(id, List.of(id), service.targetShiftCap(), service.targetCapacity()));
    }
    for (Contract.Region region : contract.regions()) {
      List<String> targets =
          region.zones().stream().flatMap(zone -> targets(zone).stream()).toList();
      double capacity = targets.size() * service.targetCapacity();
      all.add(caps.used(region.name(), targets, service.regionShiftCap(), capacity));
    }
    all.sort(Comparator.comparingDouble(ShiftCapCheck.Used::share).reversed());
    for (ShiftCapCheck.Used used : all.subList(0, 3)) {
      System.out.printf(
          "  %.0f %% of the gain allowed toward %s, %.1f s into the run%n",
          100 * used.share(), used.place(), (used.nanos() - startNanos) / 1e9);
    }
    return all.get(0).share();
  }

  private static List<String> targets(String zone) {
    return IntStream.range(0, TARGETS)
        .filter(target -> Contracts.zone(target % ZONES).equals(zone))
        .mapToObj(target -> "search-" + target)
        .toList();
  }

  private double lostEntryVms(Fleet fleet) throws InterruptedException {
    String zone = Contracts.zone(ZONES - 1);
    long from = now();
    fleet.loseEntryVms(zone);
    long lost = System.nanoTime();
    load(TAKE_OVER_MILLIS);
    summary("entry VMs lost", from, now());
    // What the ended VMs had sent is started within the first half second.
    long settled = lost + TimeUnit.MILLISECONDS.toNanos(500);
    long first = caps.firstStartAfter(settled, targets(zone));
    return first < 0 ? Double.POSITIVE_INFINITY : (first - lost) / 1e9;
  }

  private long outage(Fleet fleet, long millis) throws InterruptedException {
    long from = now();
    fleet.store().setFaults(StoreFaults.none().withDown(true));
    load(millis);
    fleet.store().setFaults(StoreFaults.none());
    long to = now();
    load(4_000);
    summary("store down " + millis / 1_000 + " s", from, to);
    return outcomes.stream()
        .filter(each -> each.dueMillis() >= from && each.dueMillis() < to && !each.whole())
        .count();
  }

  private double lostZone(Fleet fleet) throws InterruptedException {
    ScheduledExecutorService killer = Executors.newSingleThreadScheduledExecutor();
    long at = now() + 500;
    ScheduledFuture<?> unused = killer.schedule(() -> lose(fleet), 500, TimeUnit.MILLISECONDS);
    load(25_000);
    killer.shutdown();
    summary("zone lost", at, now());
    long lastBad =
        outcomes.stream()
            .filter(each -> each.dueMillis() >= at && !each.whole())
            .mapToLong(Outcome::dueMillis)
            .max()
            .orElse(at);
    if (now() - lastBad < DEADLINE.toMillis() + CALM_MILLIS) {
      return Double.POSITIVE_INFINITY;
    }
    return (lastBad - at) / 1e3;
  }

  private static void lose(Fleet fleet) {
    try {
      fleet.loseZone(Contracts.zone(0));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Callers of all regions in turn, at a rate that does not wait for answers. */
  private void load(long millis) throws InterruptedException {
    ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    ScheduledFuture<?> stream =
        clock.scheduleAtFixedRate(
            () -> due(callers), 0, 1_000_000 / REQUESTS_PER_SECOND, TimeUnit.MICROSECONDS);
    Thread.sleep(millis);
    stream.cancel(false);
    clock.shutdown();
    callers.shutdown();
    callers.awaitTermination(2 * DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void due(ExecutorService callers) {
    long dueMillis = now();
    Contract.ClientBlocks range =
        contract.clientBlocks().get(next.getAndIncrement() % contract.clientBlocks().size());
    Request request =
        Request.get(contract.customer(), "search", range.first(), "/item").deadline(DEADLINE);
    callers.execute(
        () -> {
          Answer answer = client.send(request);
          outcomes.add(
              new Outcome(dueMillis, now(), answer instanceof Answer.Complete, name(answer)));
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

  private void summary(String what, long from, long to) {
    Map<String, Integer> names = new TreeMap<>();
    long slowest = 0;
    for (Outcome each : outcomes) {
      if (each.dueMillis() >= from && each.dueMillis() < to) {
        names.merge(each.name(), 1, Integer::sum);
        slowest = Math.max(slowest, each.endMillis() - each.dueMillis());
      }
    }
    System.out.printf(
        "%5.1f to %5.1f s, %-16s %s, slowest %d ms%n", from / 1e3, to / 1e3, what, names, slowest);
  }

  private long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}
