package org.sageladder.tools.load;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.text.FieldPosition;
import java.text.NumberFormat;
import java.text.ParsePosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.encoders.EncoderUtil;
import org.jfree.chart.encoders.ImageFormat;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.RequestResult.Outcome;

/** Plots of an experiment's results. */
final class Plots {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 380;
  private static final long BUCKET_NANOS = 500_000_000L;
  private static final BasicStroke SOLID = new BasicStroke(1.5f);
  private static final BasicStroke DASHED =
      new BasicStroke(1, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 10, new float[] {4, 3}, 0);
  private static final Color[] COLOURS = {
    new Color(0xc0392b), new Color(0x2471a3), new Color(0x1e8449), new Color(0xb9770e)
  };
  private static final double[] PERCENTILES = {
    0, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 93, 95, 97, 98, 98.5, 99, 99.5, 99.8, 99.9
  };

  private Plots() {}

  /**
   * A plot as PNG.
   *
   * @param title title; also the caption and, in lower case with hyphens, the file name
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Plot(String title, byte[] png) {
    String fileName() {
      return title.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-") + ".png";
    }
  }

  /**
   * Returns all plots: the latency of each service for all variants, then time series of the first
   * variant.
   */
  static List<Plot> of(List<VariantResult> variants) throws IOException {
    List<Plot> plots = new ArrayList<>();
    VariantResult first = variants.get(0);
    for (Contract.Service service : first.experiment().contract().services()) {
      if (!first.results(service.name()).isEmpty()) {
        plots.add(latencyPlot(service.name(), variants));
      }
    }
    plots.add(ratesPlot(first));
    plots.add(slowestAnswersPlot(first));
    plots.add(headroomPlot(first));
    return plots;
  }

  private static Plot latencyPlot(String service, List<VariantResult> variants) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    for (VariantResult variant : variants) {
      Histogram histogram = variant.latency(service);
      XYSeries series = new XYSeries(variant.name());
      for (double percentile : PERCENTILES) {
        double millis = histogram.getValueAtPercentile(percentile) / 1e3;
        series.add(toNines(percentile), Math.max(0.01, millis));
      }
      data.addSeries(series);
    }
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Latency of whole answers: " + service, "percentile", "ms", data);
    XYPlot plot = chart.getXYPlot();
    plot.setRangeAxis(logMillisAxis());
    NumberAxis percentiles = new NumberAxis("percentile");
    percentiles.setTickUnit(new NumberTickUnit(1, new PercentileFormat()));
    plot.setDomainAxis(percentiles);
    return render("Latency of " + service, chart);
  }

  /**
   * Maps a percentile to its number of nines (0 for 0 %, 1 for 90 %, 2 for 99 %), which stretches
   * the tail of the distribution.
   */
  private static double toNines(double percentile) {
    return -Math.log10(1 - percentile / 100);
  }

  /** Formats a number of nines as its percentile. */
  private static final class PercentileFormat extends NumberFormat {
    private static final long serialVersionUID = 1;

    @Override
    public StringBuffer format(double nines, StringBuffer text, FieldPosition position) {
      BigDecimal percentile = BigDecimal.valueOf(100 * (1 - Math.pow(10, -nines)));
      return text.append(
          percentile.setScale(3, RoundingMode.HALF_UP).stripTrailingZeros().toPlainString());
    }

    @Override
    public StringBuffer format(long nines, StringBuffer text, FieldPosition position) {
      return format((double) nines, text, position);
    }

    @Override
    public Number parse(String text, ParsePosition position) {
      throw new UnsupportedOperationException("percentiles can only be formatted");
    }
  }

  private static LogAxis logMillisAxis() {
    LogAxis axis = new LogAxis("ms");
    NumberFormat format = NumberFormat.getInstance(Locale.ROOT);
    format.setMaximumFractionDigits(2);
    axis.setTickUnit(new NumberTickUnit(1, format));
    axis.setMinorTickMarksVisible(true);
    return axis;
  }

  /**
   * Plots, for each service, the rate of due requests as a dashed line and the rate of complete
   * answers as a solid line.
   */
  private static Plot ratesPlot(VariantResult variant) throws IOException {
    Map<String, Map<Long, Integer>> due = new TreeMap<>();
    Map<String, Map<Long, Integer>> answered = new TreeMap<>();
    for (RequestResult result : variant.results()) {
      long bucket = result.arrival().dueNanos() / BUCKET_NANOS;
      String service = result.arrival().service();
      increment(due, service, bucket);
      if (result.outcome() == Outcome.WHOLE) {
        increment(answered, service, bucket);
      }
    }
    XYSeriesCollection data = new XYSeriesCollection();
    due.keySet()
        .forEach(
            service -> {
              data.addSeries(toRateSeries(service + " due", due.get(service)));
              data.addSeries(
                  toRateSeries(service + " whole", answered.getOrDefault(service, Map.of())));
            });
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Requests a second by the time they were due", "s", "requests/s", data);
    for (int series = 0; series < data.getSeriesCount(); series++) {
      boolean isDue = series % 2 == 0;
      chart.getXYPlot().getRenderer().setSeriesPaint(series, colour(series / 2));
      chart.getXYPlot().getRenderer().setSeriesStroke(series, isDue ? DASHED : SOLID);
    }
    return timeSeriesPlot("Requests due and answered whole", chart, variant);
  }

  private static XYSeries toRateSeries(String name, Map<Long, Integer> buckets) {
    XYSeries series = new XYSeries(name);
    buckets.forEach(
        (bucket, count) -> series.add(bucket * BUCKET_NANOS / 1e9, count * 1e9 / BUCKET_NANOS));
    return series;
  }

  private static void increment(Map<String, Map<Long, Integer>> counts, String name, long bucket) {
    counts.computeIfAbsent(name, key -> new TreeMap<>()).merge(bucket, 1, Integer::sum);
  }

  /** Plots the slowest complete answer of each half second, which shows when requests were slow. */
  private static Plot slowestAnswersPlot(VariantResult variant) throws IOException {
    Map<String, Map<Long, Double>> maxMillis = new TreeMap<>();
    for (RequestResult result : variant.results()) {
      if (result.outcome() == Outcome.WHOLE) {
        maxMillis
            .computeIfAbsent(result.arrival().service(), key -> new TreeMap<>())
            .merge(
                result.arrival().dueNanos() / BUCKET_NANOS,
                Math.max(0.01, result.latencyNanos() / 1e6),
                Math::max);
      }
    }
    XYSeriesCollection data = new XYSeriesCollection();
    maxMillis.forEach(
        (service, buckets) -> {
          XYSeries series = new XYSeries(service);
          buckets.forEach(
              (bucket, millis) -> series.add(bucket * BUCKET_NANOS / 1e9, (double) millis));
          data.addSeries(series);
        });
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            "Slowest whole answer of each half second by the time it was due", "s", "ms", data);
    chart.getXYPlot().setRangeAxis(logMillisAxis());
    return timeSeriesPlot("Slowest answers over time", chart, variant);
  }

  private static Plot headroomPlot(VariantResult variant) throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    Samples samples = variant.samples();
    for (Contract.Service service : variant.experiment().contract().services()) {
      XYSeries series = new XYSeries(service.name());
      double[] headroom =
          samples.headroomFractions(
              samples.targetIndexes(target -> target.service().equals(service.name())));
      for (int sample = 0; sample < headroom.length; sample++) {
        series.add(samples.atNanos().get(sample) / 1e9, 100 * headroom[sample]);
      }
      data.addSeries(series);
    }
    JFreeChart chart = ChartFactory.createXYLineChart("Free slots", "s", "% of slots", data);
    return timeSeriesPlot("Headroom", chart, variant);
  }

  /** Adds the injected faults as markers, so that a drop can be matched with its cause. */
  private static Plot timeSeriesPlot(String title, JFreeChart chart, VariantResult variant)
      throws IOException {
    XYPlot plot = chart.getXYPlot();
    plot.getDomainAxis().setRange(0, Math.max(1, variant.experiment().duration().toMillis() / 1e3));
    for (FaultSchedule.InjectedFault fault : variant.injected()) {
      ValueMarker mark = new ValueMarker(fault.atNanos() / 1e9, Color.GRAY, DASHED);
      mark.setLabel(fault.fault().kind().name().toLowerCase(Locale.ROOT).replace('_', '-'));
      mark.setLabelAnchor(RectangleAnchor.TOP_RIGHT);
      mark.setLabelTextAnchor(TextAnchor.TOP_LEFT);
      plot.addDomainMarker(mark);
    }
    return render(title, chart);
  }

  private static Color colour(int number) {
    return COLOURS[number % COLOURS.length];
  }

  private static Plot render(String title, JFreeChart chart) throws IOException {
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    for (int series = 0; series < plot.getSeriesCount(); series++) {
      if (plot.getRenderer().getSeriesPaint(series) == null) {
        plot.getRenderer().setSeriesPaint(series, colour(series));
        plot.getRenderer().setSeriesStroke(series, SOLID);
      }
    }
    BufferedImage image = chart.createBufferedImage(WIDTH, HEIGHT);
    return new Plot(title, EncoderUtil.encode(image, ImageFormat.PNG));
  }
}
