package org.sageladder.scenario.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Processes that keep all processors busy, so that others wait for one. */
final class BusyProcesses implements AutoCloseable {
  private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> STARTED.forEach(Process::destroyForcibly), "end-busy-processes"));
  }

  private final List<Process> processes = new ArrayList<>();

  /** Starts one process for each processor, unless they run already. */
  void start() throws IOException {
    while (processes.size() < Runtime.getRuntime().availableProcessors()) {
      Process process = new ProcessBuilder("sh", "-c", "while :; do :; done").start();
      STARTED.add(process);
      processes.add(process);
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    processes.clear();
  }
}
