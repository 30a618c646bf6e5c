package org.sageladder.platform.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations such as {@code 1.5ms}, {@code 6s}, {@code 10m} and {@code 8h}. */
public final class DurationText {
  private static final Pattern DURATION_PATTERN =
      Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)");

  private DurationText() {}

  /** Returns the duration in {@code text}, or empty if the text is not a duration. */
  public static Optional<Duration> parse(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text.strip());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    BigDecimal nanos =
        new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(nanosOf(matcher.group(2))));
    return Optional.of(Duration.ofNanos(nanos.longValue()));
  }

  /** Returns the shortest text that {@link #parse} converts back to {@code duration}. */
  public static String format(Duration duration) {
    long nanos = duration.toNanos();
    for (String unit : new String[] {"h", "m", "s", "ms"}) {
      if (nanos % nanosOf(unit) == 0) {
        return nanos == 0 ? "0s" : nanos / nanosOf(unit) + unit;
      }
    }
    String unit = nanos > nanosOf("ms") ? "ms" : "us";
    return BigDecimal.valueOf(nanos)
            .divide(BigDecimal.valueOf(nanosOf(unit)))
            .stripTrailingZeros()
            .toPlainString()
        + unit;
  }

  private static long nanosOf(String unit) {
    return switch (unit) {
      case "us" -> 1_000L;
      case "ms" -> 1_000_000L;
      case "s" -> 1_000_000_000L;
      case "m" -> 60_000_000_000L;
      case "h" -> 3_600_000_000_000L;
      default ->
          throw new IllegalArgumentException(
              "unknown unit '" + unit + "'; expected us, ms, s, m or h");
    };
  }
}
