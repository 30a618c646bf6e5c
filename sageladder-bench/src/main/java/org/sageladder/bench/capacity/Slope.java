package org.sageladder.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A least-squares line through measurements at several sizes.
 *
 * @param perUnit growth of the measured value per unit of size
 * @param intercept value of the line at size 0
 * @param relativeError largest deviation of a measurement from the line, as a fraction of the
 *     largest measurement
 * @param points the measurements
 */
record Slope(double perUnit, double intercept, double relativeError, List<Point> points) {
  /** One measurement. */
  record Point(double size, double value) {}

  /** Fits a line to at least two points of different size by least squares. */
  static Slope fit(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    double largestValue = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
      largestValue = Math.max(largestValue, Math.abs(point.value()));
    }
    double perUnit = covariance / variance;
    double intercept = meanValue - perUnit * meanSize;
    double maxDeviation = 0;
    for (Point point : points) {
      maxDeviation =
          Math.max(maxDeviation, Math.abs(intercept + perUnit * point.size() - point.value()));
    }
    return new Slope(
        perUnit,
        intercept,
        largestValue == 0 ? 0 : maxDeviation / largestValue,
        List.copyOf(points));
  }

  /** Value of the line at {@code size}. */
  double valueAt(double size) {
    return intercept + perUnit * size;
  }

  /** Formats slope, intercept and error as one line. */
  String describe(String unit, String sizeUnit) {
    return String.format(
        Locale.ROOT,
        "%.4g %s per %s, %.4g %s at zero, error %.1f %%",
        perUnit,
        unit,
        sizeUnit,
        intercept,
        unit,
        100 * relativeError);
  }

  /** Formats the measurements as {@code size:value}. */
  String describePoints() {
    return points.stream()
        .map(point -> String.format(Locale.ROOT, "%.0f:%.4g", point.size(), point.value()))
        .collect(Collectors.joining(" "));
  }
}
