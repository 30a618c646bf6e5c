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
  static final QuotaBounds BOUNDS = new QuotaBounds(5_000, 0.1, 20);

  private static final long BETWEEN_REGIONS_MILLIS = 55;
  private static final int REGIONS = 3;

  /** Decides at one VM: the ways that are compared. */
  @FunctionalInterface
  interface Way {
    void ask(int vm, long now, java.util.function.Consumer<QuotaDecision> then);
  }

  private record Event(long at, long order, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final List<Quotas> vms = new ArrayList<>();
  private final Set<Integer> cut = new HashSet<>();
  private final Random random;
  private final double lost;
  private final QuotaBounds bounds;
  private Workspace workspace;
  private long now;
  private long orders;
  private boolean down;
  private int vmCount;
  long messages;
  final List<Long> offered = new ArrayList<>();
  final List<Long> admitted = new ArrayList<>();
  long waitedMillis;

  QuotaModel(int vmCount, QuotaBounds bounds, Quota quota, double lost, long seed) {
    this.vmCount = vmCount;
    this.random = new Random(seed);
    this.lost = lost;
    this.bounds = bounds;
    this.workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    for (int vm = 0; vm < vmCount; vm++) {
      vms.add(Quotas.of("e-" + vm, bounds, 4_000, peersOf(vm), 0));
    }
    vms.forEach(each -> each.live(names));
    quota(quota);
  }

  void quota(Quota quota) {
    workspace = new Workspace("choir", OptionalInt.empty(), quota, Set.of());
    vms.forEach(each -> each.workspaces(Map.of("choir", workspace)));
  }

  private Quotas.Peers peersOf(int vm) {
    return new Quotas.Peers() {
      @Override
      public void send(String to, QuotaMessage message) {
        messages++;
        int other = Integer.parseInt(to.substring(2));
        if (random.nextDouble() < lost) {
          return;
        }
        long way = vm % REGIONS == other % REGIONS ? 1 : BETWEEN_REGIONS_MILLIS;
        at(
            now + way,
            () -> {
              if (!cut.contains(vm) && !cut.contains(other)) {
                vms.get(other).received("e-" + vm, message, now);
              }
            });
      }

      @Override
      public void wake() {
        at(now + Quotas.TICK_MILLIS, () -> vms.get(vm).tick(now));
      }
    };
  }

  void at(long time, Runnable task) {
    events.add(new Event(time, orders++, task));
  }

  /** Cuts a VM off from all others; its callers still reach it. */
  void cut(int vm) {
    cut.add(vm);
  }

  /** Kills all VMs at once; they start again, and know nothing, after {@code millis}. */
  void killAll(long millis) {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
      cut.add(vm);
    }
    down = true;
    at(
        now + millis,
        () -> {
          down = false;
          cut.clear();
          for (int vm = 0; vm < vmCount; vm++) {
            vms.set(vm, Quotas.of("e-" + vm, bounds, 4_000, peersOf(vm), now));
            vms.get(vm).live(names);
          }
          quota(workspace.quota());
        });
  }

  /** The VM that coordinates, at first. */
  int coordinator() {
    List<String> names = new ArrayList<>();
    for (int vm = 0; vm < vmCount; vm++) {
      names.add("e-" + vm);
    }
    String first = org.sageladder.core.membership.Rendezvous.order("choir", names).get(0);
    return Integer.parseInt(first.substring(2));
  }

  /** Together, as the product does it. */
  Way together() {
    return (vm, time, then) -> {
      QuotaDecision decision = vms.get(vm).admit(workspace, time, then);
      if (!(decision instanceof QuotaDecision.Pending)) {
        then.accept(decision);
      }
    };
  }

  /** Each VM with an equal part of the quota, without talk. */
  Way equalParts() {
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
  void offer(Way way, double perSecond, long from, long until) {
    double next = from;
    while (true) {
      next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (next >= until) {
        return;
      }
      long time = (long) next;
      int vm = random.nextInt(vmCount);
      at(time, () -> request(way, vm, time));
    }
  }

  private void request(Way way, int vm, long asked) {
    if (down) {
      return;
    }
    offered.add(asked);
    way.ask(
        vm,
        asked,
        decision -> {
          waitedMillis += now - asked;
          if (decision instanceof QuotaDecision.Granted) {
            admitted.add(now);
          }
        });
  }

  void run(long until) {
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event next = events.remove();
      now = Math.max(now, next.at());
      next.task().run();
    }
  }

  /** Most admitted in any window that begins with one of them. */
  int mostInWindow() {
    List<Long> times = new ArrayList<>(admitted);
    times.sort(Long::compare);
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) >= BOUNDS.windowMillis()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Requests that one token bucket, asked at once by all, would have let run. */
  int owed() {
    double level = workspace.quota().capacity();
    long at = 0;
    int owed = 0;
    for (long time : offered) {
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

  long most() {
    return (long) BOUNDS.most(workspace.quota());
  }
}
