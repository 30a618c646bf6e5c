package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Readings of all targets at even steps.
 *
 * @param targets the targets, in the order of the readings
 * @param atNanos when each step was taken, after the experiment's start
 * @param readings by step, then by target; a target that could not be read repeats its last reading
 */
public record Samples(
    List<TargetView> targets, List<Long> atNanos, List<List<TargetView.Reading>> readings) {
  /** Copies the lists, so that the samples cannot change. */
  public Samples {
    targets = List.copyOf(targets);
    atNanos = List.copyOf(atNanos);
    readings = List.copyOf(readings);
  }

  /** Number of steps. */
  public int sampleCount() {
    return atNanos.size();
  }

  /** Requests that the chosen targets had started by each step. */
  long[] startedCounts(List<Integer> chosen) {
    long[] sums = new long[sampleCount()];
    for (int step = 0; step < sums.length; step++) {
      for (int target : chosen) {
        sums[step] += readings.get(step).get(target).started();
      }
    }
    return sums;
  }

  /** Positions of the targets that {@code choice} accepts. */
  List<Integer> targetIndexes(java.util.function.Predicate<TargetView> choice) {
    List<Integer> chosen = new ArrayList<>();
    for (int i = 0; i < targets.size(); i++) {
      if (choice.test(targets.get(i))) {
        chosen.add(i);
      }
    }
    return chosen;
  }

  /** Free slots of the chosen targets as a fraction of their slots, by step. */
  double[] headroomFractions(List<Integer> chosen) {
    double[] fractions = new double[sampleCount()];
    for (int step = 0; step < fractions.length; step++) {
      int slots = 0;
      int used = 0;
      for (int target : chosen) {
        slots += targets.get(target).slots();
        TargetView.Reading reading = readings.get(step).get(target);
        used += reading.busy() + reading.queued();
      }
      fractions[step] = slots == 0 ? 1 : 1 - used / (double) slots;
    }
    return fractions;
  }
}
