package org.sageladder.standin.target;

import java.util.SplittableRandom;

/** A distribution of the time that a target takes to run a request. */
@FunctionalInterface
public interface ServiceTime {
  /** Draws a service time in nanoseconds, at least 0. */
  long drawNanos(SplittableRandom random);

  /** Returns a constant service time. */
  static ServiceTime fixed(double millis) {
    long nanos = nanos(millis);
    return random -> nanos;
  }

  /** Returns an exponential distribution with the given mean. */
  static ServiceTime exponential(double meanMillis) {
    long mean = nanos(meanMillis);
    return random -> (long) (-Math.log(1 - random.nextDouble()) * mean);
  }

  /**
   * Returns a log-normal distribution with the given mean; {@code sigma} is the standard deviation
   * of the logarithm.
   */
  static ServiceTime logNormal(double meanMillis, double sigma) {
    double mu = Math.log((double) nanos(meanMillis)) - sigma * sigma / 2;
    return random -> (long) Math.exp(mu + sigma * gaussian(random));
  }

  /**
   * Parses {@code fixed:MILLIS}, {@code exponential:MEAN} or {@code lognormal:MEAN:SIGMA}.
   *
   * @throws IllegalArgumentException for any other text
   */
  static ServiceTime parse(String text) {
    String[] parts = text.split(":", -1);
    try {
      if (parts.length == 2 && parts[0].equals("fixed")) {
        return fixed(Double.parseDouble(parts[1]));
      }
      if (parts.length == 2 && parts[0].equals("exponential")) {
        return exponential(Double.parseDouble(parts[1]));
      }
      if (parts.length == 3 && parts[0].equals("lognormal")) {
        return logNormal(Double.parseDouble(parts[1]), Double.parseDouble(parts[2]));
      }
    } catch (NumberFormatException e) {
      throw malformed(text, e);
    }
    throw malformed(text, null);
  }

  private static IllegalArgumentException malformed(String text, Throwable cause) {
    return new IllegalArgumentException(
        "service time \""
            + text
            + "\": expected fixed:MILLIS, exponential:MEAN or lognormal:MEAN:SIGMA, such as"
            + " exponential:20",
        cause);
  }

  private static long nanos(double millis) {
    if (!(millis >= 0 && millis <= 3_600_000)) {
      throw new IllegalArgumentException(
          "service time of " + millis + " ms: expected 0 to 3600000");
    }
    return (long) (millis * 1_000_000);
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
