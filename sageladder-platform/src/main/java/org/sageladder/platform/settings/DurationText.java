package org.sageladder.platform.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations as people write them: {@code 1.5ms}, {@code 6s}, {@code 10m}, {@code 8h}. */
public final class DurationText {
  private static final Pattern DURATION_PATTERN =
      Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)");

  private DurationText() {}

  /** The duration that {@code text} states, or empty where it states none. */
  public static Optional<Duration> parse(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text.strip());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    BigDecimal nanos =
        new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(nanosOf(matcher.group(2))));
    return Optional.of(Duration.ofNanos(nanos.longValue()));
  }

  /** The shortest text from which {@link #parse} makes {@code duration} again. */
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
      default -> throw new IllegalArgumentException("no unit '" + unit + "'; us, ms, s, m or h");
    };
  }
}
