package org.sageladder.tools.load;

import java.awt.image.BufferedImage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.encoders.EncoderUtil;
import org.jfree.chart.encoders.ImageFormat;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.Ending.What;

/** Pictures of an experiment's results. */
final class Plots {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 380;
  private static final long RATE_STEP_NANOS = 500_000_000L;
  private static final double[] PERCENTILES = {
    1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 100
  };

  private Plots() {}

  /**
   * A picture as PNG.
   *
   * @param title also its caption and, in lower case with hyphens, its file name
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Plot(String title, byte[] png) {
    String fileName() {
      return title.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-") + ".png";
    }
  }

  /** All pictures: latency by service over all variants, then rates and headroom of the first. */
  static List<Plot> of(List<VariantResult> variants) throws IOException {
    List<Plot> plots = new ArrayList<>();
    VariantResult first = variants.get(0);
    for (Contract.Service service : first.experiment().contract().services()) {
      if (!first.endings(service.name()).isEmpty()) {
        plots.add(latency(service.name(), variants));
      }
    }
    plots.add(rates(first));
    plots.add(headroom(first));
    return plots;
  }

  private static Plot latency(String service, List<VariantResult> variants) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    for (VariantResult variant : variants) {
      Histogram histogram = variant.latency(service);
      XYSeries series = new XYSeries(variant.name());
      for (double percentile : PERCENTILES) {
        double millis = histogram.getValueAtPercentile(percentile) / 1e3;
        series.add(percentile, Math.max(0.01, millis));
      }
      data.addSeries(series);
    }
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Latency of whole answers: " + service, "percentile", "ms", data);
    LogAxis axis = new LogAxis("ms");
    axis.setNumberFormatOverride(java.text.NumberFormat.getInstance(Locale.ROOT));
    chart.getXYPlot().setRangeAxis(axis);
    return plot("Latency of " + service, chart);
  }

  private static Plot rates(VariantResult variant) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    Map<String, Map<Long, Integer>> counts = new TreeMap<>();
    for (Ending ending : variant.endings()) {
      long step = ending.arrival().dueNanos() / RATE_STEP_NANOS;
      String service = ending.arrival().service();
      count(counts, service + " due", step);
      if (ending.what() == What.WHOLE) {
        count(counts, service + " whole", step);
      }
    }
    counts.forEach(
        (name, steps) -> {
          XYSeries series = new XYSeries(name);
          steps.forEach(
              (step, count) ->
                  series.add(step * RATE_STEP_NANOS / 1e9, count * 1e9 / RATE_STEP_NANOS));
          data.addSeries(series);
        });
    return plot(
        "Requests due and answered whole",
        ChartFactory.createXYLineChart(
            "Requests a second by the time they were due", "s", "requests/s", data));
  }

  private static void count(Map<String, Map<Long, Integer>> counts, String name, long step) {
    counts.computeIfAbsent(name, key -> new TreeMap<>()).merge(step, 1, Integer::sum);
  }

  private static Plot headroom(VariantResult variant) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    Samples samples = variant.samples();
    for (Contract.Service service : variant.experiment().contract().services()) {
      XYSeries series = new XYSeries(service.name());
      double[] headroom =
          samples.headroom(samples.choose(target -> target.service().equals(service.name())));
      for (int step = 0; step < headroom.length; step++) {
        series.add(samples.atNanos().get(step) / 1e9, 100 * headroom[step]);
      }
      data.addSeries(series);
    }
    return plot("Headroom", ChartFactory.createXYLineChart("Free slots", "s", "% of slots", data));
  }

  private static Plot plot(String title, JFreeChart chart) throws IOException {
    BufferedImage image = chart.createBufferedImage(WIDTH, HEIGHT);
    return new Plot(title, EncoderUtil.encode(image, ImageFormat.PNG));
  }
}
