package org.sageladder.bench.capacity;

import java.util.Locale;

/**
 * One slope and what it gives at the target size.
 *
 * @param unit unit of the measured value
 * @param per what was varied
 * @param targetSize how much of that the target size has for each node
 * @param mechanism code that carries it
 */
record Line(
    String name, String unit, String per, Slope slope, double targetSize, String mechanism) {
  /** The value at the target size. */
  double atTarget() {
    return targetSize == 1 ? slope.perUnit() : slope.at(targetSize);
  }

  /** The line as text for people. */
  String describe() {
    return String.format(
        Locale.ROOT,
        "%s%n    %s%n    %.4g %s at %.4g; measured %s%n    carried by %s",
        name,
        slope.describe(unit, per),
        atTarget(),
        unit,
        targetSize,
        slope.describePoints(),
        mechanism);
  }
}
