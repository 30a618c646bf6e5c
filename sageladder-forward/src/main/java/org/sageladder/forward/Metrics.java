package org.sageladder.forward;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counters and times of one entry VM, as text for whoever collects them.
 *
 * <p>Micrometer with its registry holds about eight megabytes more than this on a VM whose memory
 * is priced; the text has the same format.
 */
public final class Metrics {
  private static final long MAX_MILLIS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};

  private final Map<String, Long> counters = new TreeMap<>();
  private final Map<String, Histogram> histograms = new TreeMap<>();

  /** Counts one event of that name; names are of the form {@code word_word}. */
  public void count(String name) {
    counters.merge(name, 1L, Long::sum);
  }

  /** Sets a number that is not counted but read. */
  public void setGauge(String name, long value) {
    counters.put(name, value);
  }

  /** Takes one time, in milliseconds. */
  public void recordMillis(String name, long millis) {
    histograms
        .computeIfAbsent(name, key -> new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
  }

  /** All of them, one a line. */
  public String text() {
    StringBuilder text = new StringBuilder();
    counters.forEach(
        (name, value) ->
            text.append("sageladder_").append(name).append(' ').append(value).append('\n'));
    histograms.forEach(
        (name, histogram) -> {
          for (double quantile : QUANTILES) {
            text.append("sageladder_").append(name).append("_millis{quantile=\"").append(quantile);
            text.append("\"} ").append(histogram.getValueAtPercentile(quantile * 100)).append('\n');
          }
          text.append("sageladder_").append(name).append("_millis_count ");
          text.append(histogram.getTotalCount()).append('\n');
        });
    return text.toString();
  }
}
