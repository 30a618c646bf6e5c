package org.sageladder.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;

/**
 * Simulates entry VMs in three regions that enforce the quota of one workspace, in virtual time.
 */
final class QuotaModel {
  static final QuotaTolerance TOLERANCE = new QuotaTolerance(5_000, 0.1, 20);

  private static final long CROSS_REGION_MILLIS = 55;
  private static final int REGION_COUNT = 3;

  /** Decides on requests at one VM; the compared strategies implement it. */
  @FunctionalInterface
  interface Admitter {
    void admit(int vm, long nowMillis, java.util.function.Consumer<QuotaDecision> onDecision);
  }

  private record Event(long atMillis, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final List<Quotas> vms = new ArrayList<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private final Map<Integer, Long> processingMillis = new HashMap<>();
  private final Random random;
  private final double lossProbability;
  private final QuotaTolerance tolerance;
  private Workspace workspace;
  private long nowMillis;
  private long nextOrder;
  private boolean allDown;
  private int vmCount;
  long messageCount;
  final List<Long> offeredMillis = new ArrayList<>();
  final List<Long> admittedMillis = new ArrayList<>();
  long totalWaitMillis;

  QuotaModel(
      int vmCount, QuotaTolerance tolerance, Quota quota, double lossProbability, long seed) {
    this.vmCount = vmCount;
    this.random = new Random(seed);
    this.lossProbability = lossProbability;
    this.tolerance = tolerance;
    this.workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    for (int vm = 0; vm < vmCount; vm++) {
      vms.add(Quotas.of("e-" + vm, tolerance, 4_000, peersOf(vm), 0));
    }
    vms.forEach(each -> each.updateLiveVms(names));
    updateQuota(quota);
  }

  void updateQuota(Quota quota) {
    workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    vms.forEach(vm -> vm.updateWorkspaces(Map.of("choir", workspace)));
  }

  private Quotas.Peers peersOf(int vm) {
    return new Quotas.Peers() {
      @Override
      public void send(String to, QuotaMessage message) {
        messageCount++;
        int other = Integer.parseInt(to.substring(2));
        if (random.nextDouble() < lossProbability) {
          return;
        }
        long delayMillis = vm % REGION_COUNT == other % REGION_COUNT ? 1 : CROSS_REGION_MILLIS;
        schedule(
            nowMillis + delayMillis + processingMillis.getOrDefault(other, 0L),
            () -> {
              if (!disconnected.contains(vm) && !disconnected.contains(other)) {
                vms.get(other).onMessage("e-" + vm, message, nowMillis);
              }
            });
      }

      @Override
      public void scheduleTick() {
        schedule(nowMillis + Quotas.TICK_MILLIS, () -> vms.get(vm).tick(nowMillis));
      }
    };
  }

  void schedule(long timeMillis, Runnable task) {
    events.add(new Event(timeMillis, nextOrder++, task));
  }

  /** Lets a VM process each message only after {@code millis}. */
  void slowDown(int vm, long millis) {
    processingMillis.put(vm, millis);
  }

  /**
   * Ends the registrations of the VMs below {@code count}: no live list contains them any more,
   * while they go on serving and still receive messages.
   */
  void endRegistrations(int count) {
    List<String> registered = new ArrayList<>();
    for (int vm = count; vm < vmCount; vm++) {
      registered.add("e-" + vm);
    }
    vms.forEach(vm -> vm.updateLiveVms(registered));
  }

  /** Disconnects a VM from all others; its callers still reach it. */
  void disconnect(int vm) {
    disconnected.add(vm);
  }

  /**
   * Kills all VMs at the same time and restarts them without any state after {@code downMillis}.
   */
  void restartAll(long downMillis) {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
      disconnected.add(vm);
    }
    allDown = true;
    schedule(
        nowMillis + downMillis,
        () -> {
          allDown = false;
          disconnected.clear();
          for (int vm = 0; vm < vmCount; vm++) {
            vms.set(vm, Quotas.of("e-" + vm, tolerance, 4_000, peersOf(vm), nowMillis));
            vms.get(vm).updateLiveVms(names);
          }
          updateQuota(workspace.quota());
        });
  }

  /** The first coordinator of the workspace. */
  int coordinator() {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    String first = org.sageladder.core.membership.Rendezvous.rank("choir", names).get(0);
    return Integer.parseInt(first.substring(2));
  }

  /** The implementation under test: all VMs enforce the quota together. */
  Admitter coordinated() {
    return (vm, timeMillis, onDecision) -> {
      QuotaDecision decision = vms.get(vm).admit(workspace, timeMillis, onDecision);
      if (!(decision instanceof QuotaDecision.Pending)) {
        onDecision.accept(decision);
      }
    };
  }

  /** Each VM enforces an equal share of the quota, without communication. */
  Admitter equalShares() {
    double[] tokens = new double[vmCount];
    long[] lastMillis = new long[vmCount];
    double rate = workspace.quota().ratePerSecond() / vmCount;
    double capacity = Math.max(1, workspace.quota().burst() / vmCount);
    java.util.Arrays.fill(tokens, capacity);
    return (vm, timeMillis, onDecision) -> {
      tokens[vm] = Math.min(capacity, tokens[vm] + (timeMillis - lastMillis[vm]) / 1_000.0 * rate);
      lastMillis[vm] = timeMillis;
      boolean isGranted = tokens[vm] >= 1;
      tokens[vm] -= isGranted ? 1 : 0;
      onDecision.accept(
          isGranted
              ? new QuotaDecision.Granted()
              : new QuotaDecision.Refused(100, "own share used up"));
    };
  }

  /**
   * Schedules requests as a Poisson process of mean rate {@code perSecond}, each to a random VM.
   */
  void offer(Admitter admitter, double perSecond, long fromMillis, long untilMillis) {
    double next = fromMillis;
    while (true) {
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (next >= untilMillis) {
        return;
      }
      long timeMillis = (long) next;
      int vm = random.nextInt(vmCount);
      schedule(timeMillis, () -> request(admitter, vm, timeMillis));
    }
  }

  private void request(Admitter admitter, int vm, long arrivalMillis) {
    if (allDown) {
      return;
    }
    offeredMillis.add(arrivalMillis);
    admitter.admit(
        vm,
        arrivalMillis,
        decision -> {
          totalWaitMillis += nowMillis - arrivalMillis;
          if (decision instanceof QuotaDecision.Granted) {
            admittedMillis.add(nowMillis);
          }
        });
  }

  void run(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event next = events.remove();
      nowMillis = Math.max(nowMillis, next.atMillis());
      next.task().run();
    }
  }

  /** Maximum number of admissions in any window that begins with an admission. */
  int maxAdmittedInWindow() {
    List<Long> times = new ArrayList<>(admittedMillis);
    times.sort(Long::compare);
    int max = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= TOLERANCE.windowMillis()) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  /** Requests that a single token bucket for all VMs would have admitted. */
  int tokenBucketAdmissions() {
    double tokens = workspace.quota().capacity();
    long lastMillis = 0;
    int admissions = 0;
    for (long timeMillis : offeredMillis) {
      tokens =
          Math.min(
              workspace.quota().capacity(),
              tokens + (timeMillis - lastMillis) / 1_000.0 * workspace.quota().ratePerSecond());
      lastMillis = timeMillis;
      if (tokens >= 1) {
        tokens--;
        admissions++;
      }
    }
    return admissions;
  }

  long maxRequestsInWindow() {
    return (long) TOLERANCE.maxRequests(workspace.quota());
  }
}
