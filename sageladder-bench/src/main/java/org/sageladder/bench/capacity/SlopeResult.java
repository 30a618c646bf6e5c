package org.sageladder.bench.capacity;

import java.util.Locale;

/**
 * A fitted slope and its value at the target size.
 *
 * @param unit unit of the measured value
 * @param sizeUnit unit of the size that was varied
 * @param sizeAtTarget the size per node at the target size
 * @param component code whose cost was measured
 */
record SlopeResult(
    String name, String unit, String sizeUnit, Slope slope, double sizeAtTarget, String component) {
  /** Value at the target size; for size 1 the slope alone, without the intercept. */
  double valueAtTargetSize() {
    return sizeAtTarget == 1 ? slope.perUnit() : slope.valueAt(sizeAtTarget);
  }

  /** Formats the result for printing. */
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
