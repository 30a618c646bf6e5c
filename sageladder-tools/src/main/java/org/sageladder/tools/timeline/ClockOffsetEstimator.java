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
final class ClockOffsetEstimator {
  private ClockOffsetEstimator() {}

  /** The lead of each process's clock over the collector's, in the order of {@code processes}. */
  static List<ClockOffset> estimate(List<ProcessEvents> processes, List<Message> messages) {
    int collector = processes.size();
    long[][] maxDifference = new long[collector + 1][collector + 1];
    for (long[] row : maxDifference) {
      Arrays.fill(row, ClockOffset.UNBOUNDED_MICROS);
    }
    for (int p = 0; p <= collector; p++) {
      maxDifference[p][p] = 0;
    }
    for (int p = 0; p < collector; p++) {
      ClockOffset clockOffset = processes.get(p).clockOffset();
      maxDifference[collector][p] = clockOffset.maxMicros();
      maxDifference[p][collector] = -clockOffset.minMicros();
    }
    for (Message message : messages) {
      long sent = wallMicros(processes, message.sender(), message.sendIndex());
      long received = wallMicros(processes, message.receiver(), message.receiveIndex());
      long bound = received - sent;
      maxDifference[message.sender()][message.receiver()] =
          Math.min(maxDifference[message.sender()][message.receiver()], bound);
    }
    return shortestPaths(maxDifference)
        ? toOffsets(maxDifference, collector)
        : fetchedOffsets(processes);
  }

  /** Floyd-Warshall; false where the bounds contradict one another. */
  private static boolean shortestPaths(long[][] maxDifference) {
    int size = maxDifference.length;
    for (int via = 0; via < size; via++) {
      for (int from = 0; from < size; from++) {
        for (int to = 0; to < size; to++) {
          long path = maxDifference[from][via] + maxDifference[via][to];
          maxDifference[from][to] =
              Math.min(maxDifference[from][to], Math.min(path, ClockOffset.UNBOUNDED_MICROS));
        }
      }
    }
    for (int p = 0; p < size; p++) {
      if (maxDifference[p][p] < 0) {
        return false;
      }
    }
    return true;
  }

  private static List<ClockOffset> toOffsets(long[][] maxDifference, int collector) {
    List<ClockOffset> offsets = new ArrayList<>();
    for (int p = 0; p < collector; p++) {
      offsets.add(new ClockOffset(-maxDifference[p][collector], maxDifference[collector][p]));
    }
    return offsets;
  }

  private static List<ClockOffset> fetchedOffsets(List<ProcessEvents> processes) {
    return processes.stream().map(ProcessEvents::clockOffset).toList();
  }

  private static long wallMicros(List<ProcessEvents> processes, int process, int event) {
    return processes.get(process).events().get(event).wallMicros();
  }
}
