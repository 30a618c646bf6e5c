package org.sageladder.tools.timeline;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Estimates the lead of each process's clock over the collector's clock.
 *
 * <p>Each message bounds the difference of two clocks, since it cannot be received before it was
 * sent. Each fetch bounds the difference between a clock and the collector's. The tightest bounds
 * are the shortest paths over all of them. A negative cycle means that a clock jumped; only the
 * bounds from the fetches are used then.
 */
final class ClockOffsetEstimator {
  private ClockOffsetEstimator() {}

  /**
   * Returns the lead of each process's clock over the collector's clock, in the order of {@code
   * processes}.
   */
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

  /** Floyd-Warshall; returns false if the bounds contradict each other (negative cycle). */
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
