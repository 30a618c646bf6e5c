package org.sageladder.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures processor time and heap use of code repeatedly, so that a single disturbed run has no
 * effect.
 */
final class Measure {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int SAMPLES = 3;
  private static final int GC_RUNS = 4;
  private static final int COPIES = 16;

  /** Receives results, so that the compiler cannot eliminate the measured code. */
  @SuppressWarnings("unused")
  static volatile Object sink;

  private Measure() {}

  /**
   * Minimum processor time of {@code work} on this thread over several runs after a warm-up, in
   * nanoseconds. Unlike elapsed time, processor time excludes waits for a core on a busy machine.
   */
  static double minCpuNanos(int warmUps, int runs, Runnable work) {
    for (int i = 0; i < warmUps; i++) {
      work.run();
    }
    double[] times = new double[runs];
    for (int i = 0; i < runs; i++) {
      long startNanos = THREADS.getCurrentThreadCpuTime();
      work.run();
      times[i] = THREADS.getCurrentThreadCpuTime() - startNanos;
    }
    Arrays.sort(times);
    return times[0];
  }

  /** Heap bytes retained by each object that {@code factory} creates; median of several samples. */
  static double medianHeapBytes(Supplier<Object> factory) {
    double[] samples = new double[SAMPLES];
    for (int take = 0; take < SAMPLES; take++) {
      samples[take] = heapBytes(factory);
    }
    Arrays.sort(samples);
    return samples[SAMPLES / 2];
  }

  /**
   * Only the static field refers to the copies, since a local variable may keep them reachable
   * after its last use.
   */
  private static double heapBytes(Supplier<Object> factory) {
    sink = factory.get();
    sink = null;
    long before = usedHeapBytes();
    sink = createCopies(factory);
    long after = usedHeapBytes();
    sink = null;
    return (after - before) / (double) COPIES;
  }

  private static Object[] createCopies(Supplier<Object> factory) {
    Object[] copies = new Object[COPIES];
    for (int i = 0; i < COPIES; i++) {
      copies[i] = factory.get();
    }
    return copies;
  }

  /**
   * Runs four collections, since the serial collector keeps some unreachable objects except in
   * every fourth full collection.
   */
  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      minBytes = Math.min(minBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return minBytes;
  }
}
