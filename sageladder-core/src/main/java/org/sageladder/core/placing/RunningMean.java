package org.sageladder.core.placing;

/**
 * Mean of what was measured lately: that of all values at first, of the last ones later.
 *
 * <pre>{@code
 * RunningMean mean = RunningMean.ofLast(20);
 * mean.add(180);
 * mean.value(); // 180, the first value alone
 * }</pre>
 */
final class RunningMean {
  private final double minWeight;
  private double value;
  private long count;

  private RunningMean(double minWeight) {
    this.minWeight = minWeight;
  }

  /** A mean of nothing yet, in which about the last {@code values} count. */
  static RunningMean ofLast(int window) {
    return new RunningMean(1.0 / window);
  }

  /** Takes one more value in. */
  void add(double measured) {
    count++;
    value += Math.max(minWeight, 1.0 / count) * (measured - value);
  }

  /** The mean; 0 where there is no value yet. */
  double value() {
    return value;
  }

  /** Values that were taken in. */
  long count() {
    return count;
  }
}
