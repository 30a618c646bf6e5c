package org.sageladder.core.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.sageladder.core.routing.Quota;
import org.sageladder.core.routing.Workspace;

/** Entry VMs in three regions that keep one workspace's quota together, on virtual time. */
final class QuotaModel {
  static final QuotaTolerance TOLERANCE = new QuotaTolerance(5_000, 0.1, 20);

  private static final long CROSS_REGION_MILLIS = 55;
  private static final int REGION_COUNT = 3;

  /** Decides at one VM: the ways that are compared. */
  @FunctionalInterface
  interface Admitter {
    void admit(int vm, long now, java.util.function.Consumer<QuotaDecision> then);
  }

  private record Event(long atMillis, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final List<Quotas> vms = new ArrayList<>();
  private final Set<Integer> disconnected = new HashSet<>();
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

  QuotaModel(int vmCount, QuotaTolerance bounds, Quota quota, double lost, long seed) {
    this.vmCount = vmCount;
    this.random = new Random(seed);
    this.lossProbability = lost;
    this.tolerance = bounds;
    this.workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    for (int vm = 0; vm < vmCount; vm++) {
      vms.add(Quotas.of("e-" + vm, bounds, 4_000, peersOf(vm), 0));
    }
    vms.forEach(each -> each.updateLiveVms(names));
    updateQuota(quota);
  }

  void updateQuota(Quota quota) {
    workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    vms.forEach(each -> each.updateWorkspaces(Map.of("choir", workspace)));
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
        long way = vm % REGION_COUNT == other % REGION_COUNT ? 1 : CROSS_REGION_MILLIS;
        schedule(
            nowMillis + way,
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

  void schedule(long time, Runnable task) {
    events.add(new Event(time, nextOrder++, task));
  }

  /** Cuts a VM off from all others; its callers still reach it. */
  void disconnect(int vm) {
    disconnected.add(vm);
  }

  /** Kills all VMs at once; they start again, and know nothing, after {@code millis}. */
  void restartAll(long millis) {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
      disconnected.add(vm);
    }
    allDown = true;
    schedule(
        nowMillis + millis,
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

  /** The VM that coordinates, at first. */
  int coordinator() {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    String first = org.sageladder.core.membership.Rendezvous.rank("choir", names).get(0);
    return Integer.parseInt(first.substring(2));
  }

  /** Together, as the product does it. */
  Admitter coordinated() {
    return (vm, time, then) -> {
      QuotaDecision decision = vms.get(vm).admit(workspace, time, then);
      if (!(decision instanceof QuotaDecision.Pending)) {
        then.accept(decision);
      }
    };
  }

  /** Each VM with an equal part of the quota, without talk. */
  Admitter equalShares() {
    double[] level = new double[vmCount];
    long[] at = new long[vmCount];
    double rate = workspace.quota().ratePerSecond() / vmCount;
    double most = Math.max(1, workspace.quota().burst() / vmCount);
    java.util.Arrays.fill(level, most);
    return (vm, time, then) -> {
      level[vm] = Math.min(most, level[vm] + (time - at[vm]) / 1_000.0 * rate);
      at[vm] = time;
      boolean grants = level[vm] >= 1;
      level[vm] -= grants ? 1 : 0;
      then.accept(
          grants ? new QuotaDecision.Granted() : new QuotaDecision.Refused(100, "own part"));
    };
  }

  /** Sends requests by chance, {@code perSecond} on the mean, at VMs drawn anew for each. */
  void offer(Admitter way, double perSecond, long from, long until) {
    double next = from;
    while (true) {
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (next >= until) {
        return;
      }
      long time = (long) next;
      int vm = random.nextInt(vmCount);
      schedule(time, () -> request(way, vm, time));
    }
  }

  private void request(Admitter way, int vm, long asked) {
    if (allDown) {
      return;
    }
    offeredMillis.add(asked);
    way.admit(
        vm,
        asked,
        decision -> {
          totalWaitMillis += nowMillis - asked;
          if (decision instanceof QuotaDecision.Granted) {
            admittedMillis.add(nowMillis);
          }
        });
  }

  void run(long until) {
    while (!events.isEmpty() && events.peek().atMillis() <= until) {
      Event next = events.remove();
      nowMillis = Math.max(nowMillis, next.atMillis());
      next.task().run();
    }
  }

  /** Most admitted in any window that begins with one of them. */
  int maxAdmittedInWindow() {
    List<Long> times = new ArrayList<>(admittedMillis);
    times.sort(Long::compare);
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= TOLERANCE.windowMillis()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Requests that one token bucket, asked at once by all, would have let run. */
  int tokenBucketAdmissions() {
    double level = workspace.quota().capacity();
    long at = 0;
    int owed = 0;
    for (long time : offeredMillis) {
      level =
          Math.min(
              workspace.quota().capacity(),
              level + (time - at) / 1_000.0 * workspace.quota().ratePerSecond());
      at = time;
      if (level >= 1) {
        level--;
        owed++;
      }
    }
    return owed;
  }

  long maxRequestsInWindow() {
    return (long) TOLERANCE.maxRequests(workspace.quota());
  }
}
