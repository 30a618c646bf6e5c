package org.sageladder.bench.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.sageladder.core.limits.Scheduler;
import org.sageladder.core.time.VirtualTime;

/** Runs delayed tasks in order of their due time on a virtual clock. */
final class VirtualScheduler implements Scheduler {
  private final VirtualTime time = VirtualTime.startingAt(1_000_000_000L);
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparing(Task::number));
  private long nextTaskNumber;

  private record Task(long dueNanos, long number, Runnable action) {}

  VirtualTime time() {
    return time;
  }

  double seconds() {
    return time.nanos() / 1e9;
  }

  @Override
  public void runAfter(Duration delay, Runnable task) {
    tasks.add(new Task(time.nanos() + delay.toNanos(), nextTaskNumber++, task));
  }

  void advance(Duration step) {
    long endNanos = time.nanos() + step.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= endNanos) {
      Task task = tasks.remove();
      time.advance(Duration.ofNanos(Math.max(0, task.dueNanos() - time.nanos())));
      task.action().run();
    }
    time.advance(Duration.ofNanos(endNanos - time.nanos()));
  }
}
