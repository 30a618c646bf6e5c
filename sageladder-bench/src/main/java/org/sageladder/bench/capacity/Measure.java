package org.sageladder.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/** Times and sizes of pieces of code, taken so that a single disturbed run does not count. */
final class Measure {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int SAMPLES = 3;
  private static final int GC_RUNS = 4;
  private static final int COPIES = 16;

  /** Results land here, so that the measured code cannot be left out by the compiler. */
  @SuppressWarnings("unused")
  static volatile Object sink;

  private Measure() {}

  /**
   * The least of several processor times of {@code work} on this thread, in nanoseconds, after runs
   * to warm up. Processor time leaves out the waits for a core on a busy machine.
   */
  static double minCpuNanos(int warmUps, int runs, Runnable work) {
    for (int i = 0; i < warmUps; i++) {
      work.run();
    }
    double[] times = new double[runs];
    for (int i = 0; i < runs; i++) {
      long start = THREADS.getCurrentThreadCpuTime();
      work.run();
      times[i] = THREADS.getCurrentThreadCpuTime() - start;
    }
    Arrays.sort(times);
    return times[0];
  }

  /** Bytes that the heap holds more for each object that {@code make} gives; median of takes. */
  static double medianHeapBytes(Supplier<Object> factory) {
    double[] samples = new double[SAMPLES];
    for (int take = 0; take < SAMPLES; take++) {
      samples[take] = heapBytes(factory);
    }
    Arrays.sort(samples);
    return samples[SAMPLES / 2];
  }

  /** The copies hang on the static field alone: a local variable may outlive its last use. */
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

  /** The serial collector leaves some dead objects lying but in every fourth full collection. */
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
