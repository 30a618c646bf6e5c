package org.sageladder.tools.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Readings of all targets, sampled at a fixed interval.
 *
 * @param targets the targets, in the order of the readings
 * @param atNanos time of each sample, relative to the start of the experiment
 * @param readings readings by sample, then by target; a target that could not be read repeats its
 *     last reading
 */
public record Samples(
    List<TargetView> targets, List<Long> atNanos, List<List<TargetView.Reading>> readings) {
  /** Copies the lists, which makes the record immutable. */
  public Samples {
    targets = List.copyOf(targets);
    atNanos = List.copyOf(atNanos);
    readings = List.copyOf(readings);
  }

  /** Number of samples. */
  public int sampleCount() {
    return atNanos.size();
  }

  /** Total number of requests that the given targets had started at each sample. */
  long[] startedCounts(List<Integer> chosen) {
    long[] sums = new long[sampleCount()];
    for (int sample = 0; sample < sums.length; sample++) {
      for (int target : chosen) {
        sums[sample] += readings.get(sample).get(target).started();
      }
    }
    return sums;
  }

  /** Indexes of the targets that {@code choice} accepts. */
  List<Integer> targetIndexes(java.util.function.Predicate<TargetView> choice) {
    List<Integer> chosen = new ArrayList<>();
    for (int i = 0; i < targets.size(); i++) {
      if (choice.test(targets.get(i))) {
        chosen.add(i);
      }
    }
    return chosen;
  }

  /** Free slots of the given targets as a fraction of their slots, for each sample. */
  double[] headroomFractions(List<Integer> chosen) {
    double[] fractions = new double[sampleCount()];
    for (int sample = 0; sample < fractions.length; sample++) {
      int slots = 0;
      int used = 0;
      for (int target : chosen) {
        slots += targets.get(target).slots();
        TargetView.Reading reading = readings.get(sample).get(target);
        used += reading.busy() + reading.queued();
      }
      fractions[sample] = slots == 0 ? 1 : 1 - used / (double) slots;
    }
    return fractions;
  }
}
