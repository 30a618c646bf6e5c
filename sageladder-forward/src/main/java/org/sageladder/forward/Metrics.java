package org.sageladder.forward;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of one entry VM, in Prometheus text format.
 *
 * <p>Micrometer with its registry needs about eight megabytes more than this class, on a VM whose
 * memory is priced.
 */
public final class Metrics {
  private static final long MAX_MILLIS = 120_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};

  private final Map<String, Long> counters = new TreeMap<>();
  private final Map<String, Histogram> histograms = new TreeMap<>();

  /** Increments the counter of that name; names have the form {@code word_word}. */
  public void count(String name) {
    add(name, 1);
  }

  /** Adds {@code number} to the counter of that name. */
  public void add(String name, long number) {
    counters.merge(name, number, Long::sum);
  }

  /** Sets a gauge. */
  public void setGauge(String name, long value) {
    counters.put(name, value);
  }

  /** Records one duration in milliseconds. */
  public void recordMillis(String name, long millis) {
    histograms
        .computeIfAbsent(name, key -> new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
  }

  /** All metrics as text, one per line. */
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
