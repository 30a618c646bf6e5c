package org.sageladder.bench.targetrate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.sageladder.core.placing.ColdTargetLimiter.EntryVmLocation;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;

/**
 * Entry VMs that all have requests for one target, which states a rate, then half of it, then none.
 *
 * <p>Entry VMs restart, join and leave, and each learns of it up to {@link #MAX_LIST_DELAY_MILLIS}
 * later. As in the contract, requests count from entry VMs that passed on an answer with the rate
 * half a second before, and that were not restarted since.
 */
final class TargetRateModel {
  static final long LIMITED_AT_MILLIS = 5_000;
  static final long HALVED_AT_MILLIS = 30_000;
  static final long WITHDRAWN_AT_MILLIS = 50_000;
  static final long END_MILLIS = 90_000;

  private static final long STEP_MILLIS = 10;
  private static final long WINDOW_MILLIS = 4_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long ON_THE_WAY_MILLIS = 500;
  private static final long ANSWER_MILLIS = 250;
  private static final int MAX_LIST_DELAY_MILLIS = 2_000;

  /** Requests that entry VMs have for the target, as a multiple of the stated rate. */
  private static final double DEMAND_FACTOR = 5;

  /** Creates the policy of an entry VM that starts. */
  @FunctionalInterface
  interface PolicySource {
    SendPolicy create(String vm, TargetFacts target, Random random);
  }

  /**
   * What a run shows.
   *
   * @param largestFraction largest number of counted requests in a window, as a fraction of the
   *     allowed number
   * @param usedFraction requests that the target got while it stated the first rate, as a fraction
   *     of that rate
   * @param returnedFraction the same in the last 30 s, as a fraction of what entry VMs had for it
   */
  record Result(double largestFraction, double usedFraction, double returnedFraction) {}

  private static final class Vm {
    final EntryVmLocation location;
    SendPolicy policy;
    long toldAtMillis = Long.MAX_VALUE;
    boolean isRunning = true;

    Vm(EntryVmLocation location, SendPolicy policy) {
      this.location = location;
      this.policy = policy;
    }
  }

  private record Event(long atMillis, Runnable action) {}

  private final PolicySource policies;
  private final double rate;
  private final boolean hasFaults;
  private final Random random;
  private final TargetFacts target =
      new TargetFacts(
          new TargetIncarnation("t", 1), 0, "s", "10.0.0.1", 80, "z0", "r0", 3, false, 0);
  private final List<Vm> vms = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
  private final Deque<Long> window = new ArrayDeque<>();
  private final double demandPerSecond;
  private double largestFraction;
  private long usedCount;
  private long returnedCount;
  private long now;

  private TargetRateModel(
      PolicySource policies, int vmCount, double rate, boolean hasFaults, long seed) {
    this.policies = policies;
    this.rate = rate;
    this.hasFaults = hasFaults;
    this.random = new Random(seed);
    this.demandPerSecond = DEMAND_FACTOR * rate;
    for (int i = 0; i < vmCount; i++) {
      addVm(i);
    }
    vms.forEach(vm -> vm.policy.onLiveVms(liveVms(), 0));
  }

  /** Runs the model once; equal seeds give equal requests and faults. */
  static Result run(PolicySource policies, int vmCount, double rate, boolean hasFaults, long seed) {
    return new TargetRateModel(policies, vmCount, rate, hasFaults, seed).run();
  }

  private Vm addVm(int index) {
    EntryVmLocation location =
        new EntryVmLocation("e-" + index, "z" + index % 6, "r" + index % 6 / 2);
    Vm vm = new Vm(location, policies.create(location.name(), target, random));
    vms.add(vm);
    return vm;
  }

  private List<EntryVmLocation> liveVms() {
    return vms.stream().filter(vm -> vm.isRunning).map(vm -> vm.location).toList();
  }

  private void schedule(long delayMillis, Runnable action) {
    events.add(new Event(now + delayMillis, action));
  }

  private Result run() {
    if (hasFaults) {
      scheduleFaults();
    }
    for (now = 0; now < END_MILLIS; now += STEP_MILLIS) {
      while (!events.isEmpty() && events.peek().atMillis() <= now) {
        events.poll().action().run();
      }
      for (Vm vm : vms) {
        double expected = demandPerSecond / vms.size() * STEP_MILLIS / 1_000;
        if (vm.isRunning && random.nextDouble() < expected && vm.policy.trySend(now)) {
          onSent(vm);
        }
      }
    }
    double limitedSeconds = (HALVED_AT_MILLIS - LIMITED_AT_MILLIS - CONTACT_MILLIS) / 1_000.0;
    double lastSeconds = 30;
    return new Result(
        largestFraction,
        usedCount / (rate * limitedSeconds),
        returnedCount / (demandPerSecond * lastSeconds));
  }

  private double statedRate() {
    if (now < LIMITED_AT_MILLIS || now >= WITHDRAWN_AT_MILLIS) {
      return Double.POSITIVE_INFINITY;
    }
    return now < HALVED_AT_MILLIS ? rate : rate / 2;
  }

  private void onSent(Vm vm) {
    double stated = statedRate();
    SendPolicy sender = vm.policy;
    schedule(
        ANSWER_MILLIS,
        () -> {
          if (vm.policy == sender) {
            sender.onAnswer(stated, now);
            vm.toldAtMillis =
                Double.isInfinite(stated) ? Long.MAX_VALUE : Math.min(vm.toldAtMillis, now);
          }
        });
    usedCount += now >= LIMITED_AT_MILLIS + CONTACT_MILLIS && now < HALVED_AT_MILLIS ? 1 : 0;
    returnedCount += now >= END_MILLIS - 30_000 ? 1 : 0;
    boolean counts =
        !Double.isInfinite(stated)
            && vm.toldAtMillis != Long.MAX_VALUE
            && now >= vm.toldAtMillis + ON_THE_WAY_MILLIS;
    if (counts) {
      checkWindow(stated);
    }
  }

  private void checkWindow(double stated) {
    window.addLast(now);
    while (window.peekFirst() <= now - WINDOW_MILLIS) {
      window.removeFirst();
    }
    boolean isChecked =
        (now >= LIMITED_AT_MILLIS + CONTACT_MILLIS && now < HALVED_AT_MILLIS)
            || now >= HALVED_AT_MILLIS + CONTACT_MILLIS;
    if (isChecked) {
      double allowed = 1.5 * stated * WINDOW_MILLIS / 1_000 + 5;
      largestFraction = Math.max(largestFraction, window.size() / allowed);
    }
  }

  /** Restarts, losses and additions of entry VMs, about every two seconds. */
  private void scheduleFaults() {
    for (long at = LIMITED_AT_MILLIS; at < WITHDRAWN_AT_MILLIS; at += 500 + random.nextInt(3_000)) {
      int kind = random.nextInt(3);
      events.add(new Event(at, () -> injectFault(kind)));
    }
  }

  private void injectFault(int kind) {
    Vm vm = vms.get(random.nextInt(vms.size()));
    if (kind == 0) {
      addVm(vms.size());
    } else {
      boolean comesBack = kind == 1;
      vm.isRunning = false;
      vm.toldAtMillis = Long.MAX_VALUE;
      if (comesBack) {
        schedule(500 + random.nextInt(2_000), () -> restart(vm));
      }
    }
    announceLiveVms();
  }

  private void restart(Vm vm) {
    vm.isRunning = true;
    vm.policy = policies.create(vm.location.name(), target, random);
    announceLiveVms();
  }

  private void announceLiveVms() {
    List<EntryVmLocation> live = liveVms();
    for (Vm vm : vms) {
      schedule(random.nextInt(MAX_LIST_DELAY_MILLIS), () -> vm.policy.onLiveVms(live, now));
    }
  }
}
