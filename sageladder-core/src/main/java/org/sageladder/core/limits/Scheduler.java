package org.sageladder.core.limits;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task after a delay. A gate uses it to end waits, and to admit queued requests once its
 * caps allow more.
 *
 * <pre>{@code
 * Scheduler scheduler = Scheduler.of(executor);
 * scheduler.runAfter(Duration.ofMillis(20), () -> wake());
 * }</pre>
 */
@FunctionalInterface
public interface Scheduler {
  /** Runs {@code task} once, on any thread, not before {@code delay} has elapsed. */
  void runAfter(Duration delay, Runnable task);

  /** A scheduler that uses the threads of {@code executor}. */
  static Scheduler of(ScheduledExecutorService executor) {
    return (delay, task) -> {
      if (executor.isShutdown()) {
        return;
      }
      var unused = executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    };
  }
}
