package org.sageladder.bench.controlcost;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Processor time of each thread of this process's child processes, in nanoseconds as counted by the
 * kernel.
 *
 * @param takenNanos time of the reading, from {@link System#nanoTime}
 * @param nanosByThread processor time in nanoseconds by thread
 */
record ProcessorTimes(long takenNanos, Map<ThreadKey, Long> nanosByThread) {
  private static final String COMPILER_THREAD_NAME = "CompilerThre";

  /** Identifies a thread; the kernel truncates its name to 15 characters. */
  record ThreadKey(long process, String id, String name) {}

  /**
   * Processor use in percent of one core.
   *
   * @param meanPercent mean over the processes of all threads except JIT compiler threads
   * @param maxPercent the same for the busiest process
   * @param meanCompilerPercent mean over the processes of the JIT compiler threads
   */
  record CoreShares(double meanPercent, double maxPercent, double meanCompilerPercent) {}

  static ProcessorTimes ofChildren() throws IOException {
    Map<ThreadKey, Long> threads = new HashMap<>();
    for (long process : ProcessHandle.current().children().map(ProcessHandle::pid).toList()) {
      Path tasks = Path.of("/proc", Long.toString(process), "task");
      List<Path> taskPaths;
      try (Stream<Path> paths = Files.list(tasks)) {
        taskPaths = paths.toList();
      }
      for (Path task : taskPaths) {
        add(process, task, threads);
      }
    }
    return new ProcessorTimes(System.nanoTime(), threads);
  }

  private static void add(long process, Path task, Map<ThreadKey, Long> threads)
      throws IOException {
    try {
      String name = Files.readString(task.resolve("comm")).strip();
      String times = Files.readString(task.resolve("schedstat"));
      ThreadKey thread = new ThreadKey(process, task.getFileName().toString(), name);
      threads.put(thread, Long.parseLong(times.substring(0, times.indexOf(' '))));
    } catch (NoSuchFileException e) {
      // The thread ended between the listing and the reading.
    }
  }

  /** Processor use since {@code before}, without threads that have ended since then. */
  CoreShares since(ProcessorTimes before) {
    double percentPerNano = 100.0 / (takenNanos - before.takenNanos);
    Map<Long, Double> percentByProcess = new HashMap<>();
    double compilerPercent = 0;
    for (Map.Entry<ThreadKey, Long> entry : nanosByThread.entrySet()) {
      ThreadKey thread = entry.getKey();
      long usedNanos = entry.getValue() - before.nanosByThread.getOrDefault(thread, 0L);
      if (thread.name().contains(COMPILER_THREAD_NAME)) {
        compilerPercent += usedNanos * percentPerNano;
      } else {
        percentByProcess.merge(thread.process(), usedNanos * percentPerNano, Double::sum);
      }
    }
    double sum = percentByProcess.values().stream().mapToDouble(Double::doubleValue).sum();
    double max =
        percentByProcess.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    int processes = Math.max(1, percentByProcess.size());
    return new CoreShares(sum / processes, max, compilerPercent / processes);
  }
}
