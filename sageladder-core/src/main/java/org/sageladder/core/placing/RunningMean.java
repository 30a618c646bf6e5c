package org.sageladder.core.placing;

/**
 * Mean of recent values: the plain mean at first, an exponentially weighted moving average later.
 *
 * <pre>{@code
 * RunningMean mean = RunningMean.ofLast(20);
 * mean.add(180);
 * mean.value(); // 180, the first value alone
 * }</pre>
 */
final class RunningMean {
  private double minWeight;
  private double value;
  private long count;

  private RunningMean(double minWeight) {
    this.minWeight = minWeight;
  }

  /** Creates an empty mean that covers about the last {@code window} values. */
  static RunningMean ofLast(int window) {
    return new RunningMean(1.0 / window);
  }

  /** Sets the number of recent values that the mean covers. */
  void updateWindow(int window) {
    minWeight = 1.0 / window;
  }

  /** Adds a value. */
  void add(double measured) {
    count++;
    value += Math.max(minWeight, 1.0 / count) * (measured - value);
  }

  /** The mean; 0 if there is no value yet. */
  double value() {
    return value;
  }

  /** The number of values added. */
  long count() {
    return count;
  }
}
