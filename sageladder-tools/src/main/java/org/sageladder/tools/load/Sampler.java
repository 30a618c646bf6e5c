package org.sageladder.tools.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.tools.load.TargetView.Reading;

/** Reads all targets at a fixed interval on a dedicated thread. */
final class Sampler implements AutoCloseable {
  static final Duration INTERVAL = Duration.ofMillis(100);

  private final List<TargetView> targets;
  private final long startNanos;
  private final List<Long> atNanos = new ArrayList<>();
  private final List<List<Reading>> readings = new ArrayList<>();
  private final Thread thread;
  private volatile boolean stopped;

  private Sampler(List<TargetView> targets, long startNanos) {
    this.targets = targets;
    this.startNanos = startNanos;
    this.thread = new Thread(this::run, "sampler");
  }

  static Sampler start(List<TargetView> targets, long startNanos) {
    Sampler sampler = new Sampler(targets, startNanos);
    sampler.thread.start();
    return sampler;
  }

  private void run() {
    long nextNanos = System.nanoTime();
    while (!stopped) {
      sample();
      nextNanos += INTERVAL.toNanos();
      long remainingNanos = nextNanos - System.nanoTime();
      if (remainingNanos > 0) {
        try {
          Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  private void sample() {
    List<Reading> sample = new ArrayList<>(targets.size());
    long nowNanos = System.nanoTime();
    for (int i = 0; i < targets.size(); i++) {
      sample.add(readOrRepeatLast(i));
    }
    synchronized (this) {
      atNanos.add(nowNanos - startNanos);
      readings.add(List.copyOf(sample));
    }
  }

  private Reading readOrRepeatLast(int target) {
    try {
      return targets.get(target).read();
    } catch (IOException e) {
      synchronized (this) {
        return readings.isEmpty()
            ? new Reading(0, 0, 0)
            : readings.get(readings.size() - 1).get(target);
      }
    }
  }

  /** The samples taken so far. */
  synchronized Samples samples() {
    return new Samples(targets, atNanos, readings);
  }

  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
