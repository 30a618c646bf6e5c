package org.sageladder.core.steering;

import java.util.List;

/** Divides a whole number in proportion to weights by the largest remainder method. */
final class LargestRemainder {
  private LargestRemainder() {}

  /** Returns a number for each weight; they add up to {@code count} unless all weights are 0. */
  static int[] apportion(List<Double> weights, int count) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    int[] counts = new int[weights.size()];
    if (sum <= 0) {
      return counts;
    }
    double[] remainders = new double[counts.length];
    int assigned = 0;
    for (int i = 0; i < counts.length; i++) {
      double exact = weights.get(i) / sum * count;
      counts[i] = (int) exact;
      remainders[i] = exact - counts[i];
      assigned += counts[i];
    }
    for (; assigned < count; assigned++) {
      int largest = 0;
      for (int i = 1; i < counts.length; i++) {
        if (remainders[i] > remainders[largest]) {
          largest = i;
        }
      }
      counts[largest]++;
      remainders[largest] = -1;
    }
    return counts;
  }
}
