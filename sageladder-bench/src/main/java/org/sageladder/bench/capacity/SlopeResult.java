package org.sageladder.bench.capacity;

import java.util.Locale;

/**
 * One slope and what it gives at the target size.
 *
 * @param unit unit of the measured value
 * @param sizeUnit what was varied
 * @param sizeAtTarget how much of that the target size has for each node
 * @param component code that carries it
 */
record SlopeResult(
    String name, String unit, String sizeUnit, Slope slope, double sizeAtTarget, String component) {
  /** The value at the target size. */
  double valueAtTargetSize() {
    return sizeAtTarget == 1 ? slope.perUnit() : slope.valueAt(sizeAtTarget);
  }

  /** The line as text for people. */
  String describe() {
    return String.format(
        Locale.ROOT,
        "%s%n    %s%n    %.4g %s at %.4g; measured %s%n    carried by %s",
        name,
        slope.describe(unit, sizeUnit),
        valueAtTargetSize(),
        unit,
        sizeAtTarget,
        slope.describePoints(),
        component);
  }
}
