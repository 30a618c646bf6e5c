package org.sageladder.core.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.sageladder.core.contract.Contract;
import org.sageladder.core.contract.RequestClass;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.time.VirtualTime;

/** Contracts, holdings and a scheduler on a virtual clock, for tests of gates. */
final class GateFixture implements Scheduler {
  final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos));

  private record Task(long dueNanos, Runnable action) {}

  @Override
  public void runAfter(Duration delay, Runnable task) {
    tasks.add(new Task(time.nanos() + delay.toNanos(), task));
  }

  /** Advances time and runs the tasks that become due, in order. */
  void advance(Duration step) {
    long end = time.nanos() + step.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
      Task task = tasks.remove();
      time.advance(Duration.ofNanos(Math.max(0, task.dueNanos() - time.nanos())));
      task.action().run();
    }
    time.advance(Duration.ofNanos(end - time.nanos()));
  }

  AdmissionRequest requestWithin(Duration deadline) {
    return new AdmissionRequest("r", time.nanos() + deadline.toNanos(), "", "");
  }

  static Holding holding(String target, int slots) {
    return new Holding(target, "c", "s", "127.0.0.1", 1, 1, "vm", slots, false);
  }

  static List<Holding> holdings(int count, int slots) {
    List<Holding> holdings = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      holdings.add(holding("t" + i, slots));
    }
    return holdings;
  }

  /**
   * A service with a service time of 100 ms, a queue of 4 per target and a cap that never limits.
   */
  static Contract.Service service(RequestClass requestClass) {
    return service(requestClass, new Contract.ShiftCap(1, Duration.ofSeconds(100)));
  }

  static Contract.Service service(RequestClass requestClass, Contract.ShiftCap cap) {
    return service(requestClass, cap, cap);
  }

  static Contract.Service service(
      RequestClass requestClass, Contract.ShiftCap regionCap, Contract.ShiftCap targetCap) {
    return new Contract.Service(
        "s",
        requestClass,
        true,
        4,
        3,
        100,
        100,
        4,
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Duration.ofSeconds(30),
        0.1,
        regionCap,
        targetCap);
  }
}
