package org.sageladder.core.overload;

/** A count of events of which older ones count less, with exponential decay. */
final class DecayingCount {
  private final double timeConstantMillis;
  private double value;
  private long updatedAtMillis;

  private DecayingCount(double timeConstantMillis) {
    this.timeConstantMillis = timeConstantMillis;
  }

  /** Creates an empty count in which an event of {@code millis} ago counts 1/e. */
  static DecayingCount over(double millis) {
    return new DecayingCount(millis);
  }

  void increment(long now) {
    value = value(now) + 1;
    updatedAtMillis = now;
  }

  double value(long now) {
    return value * Math.exp(-Math.max(0, now - updatedAtMillis) / timeConstantMillis);
  }
}
