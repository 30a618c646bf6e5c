package org.sageladder.tools.timeline;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Estimates how far each process's clock is from the collector's.
 *
 * <p>Each message bounds two clocks against one another: it cannot be received before it was sent.
 * Each fetch bounds a clock against the collector's. All bounds together are shortest paths over
 * the processes; a contradiction among them means that a clock jumped, and then only the fetches
 * count.
 */
final class ClockOffsets {
  private ClockOffsets() {}

  /** The lead of each process's clock over the collector's, in the order of {@code processes}. */
  static List<Offset> estimate(List<ProcessEvents> processes, List<Message> messages) {
    int collector = processes.size();
    long[][] most = new long[collector + 1][collector + 1];
    for (long[] row : most) {
      Arrays.fill(row, Offset.NO_BOUND);
    }
    for (int p = 0; p <= collector; p++) {
      most[p][p] = 0;
    }
    for (int p = 0; p < collector; p++) {
      Offset clock = processes.get(p).clock();
      most[collector][p] = clock.most();
      most[p][collector] = -clock.least();
    }
    for (Message message : messages) {
      long sent = micros(processes, message.from(), message.sent());
      long received = micros(processes, message.to(), message.received());
      long bound = received - sent;
      most[message.from()][message.to()] = Math.min(most[message.from()][message.to()], bound);
    }
    return tighten(most) ? read(most, collector) : fetched(processes);
  }

  /** Floyd-Warshall; false where the bounds contradict one another. */
  private static boolean tighten(long[][] most) {
    int size = most.length;
    for (int via = 0; via < size; via++) {
      for (int from = 0; from < size; from++) {
        for (int to = 0; to < size; to++) {
          long path = most[from][via] + most[via][to];
          most[from][to] = Math.min(most[from][to], Math.min(path, Offset.NO_BOUND));
        }
      }
    }
    for (int p = 0; p < size; p++) {
      if (most[p][p] < 0) {
        return false;
      }
    }
    return true;
  }

  private static List<Offset> read(long[][] most, int collector) {
    List<Offset> offsets = new ArrayList<>();
    for (int p = 0; p < collector; p++) {
      offsets.add(new Offset(-most[p][collector], most[collector][p]));
    }
    return offsets;
  }

  private static List<Offset> fetched(List<ProcessEvents> processes) {
    return processes.stream().map(ProcessEvents::clock).toList();
  }

  private static long micros(List<ProcessEvents> processes, int process, int event) {
    return processes.get(process).events().get(event).wallMicros();
  }
}
