package org.sageladder.tools.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.sageladder.core.contract.Contract;
import org.sageladder.tools.load.RequestResult.Outcome;
import org.sageladder.tools.timeline.TimeLine;

/** Writes the report of an experiment as Markdown and as a single HTML page. */
final class Report {
  private final List<VariantResult> variants;
  private final List<CheckResult> checks;
  private final StringBuilder markdown = new StringBuilder();

  private Report(List<VariantResult> variants, List<CheckResult> checks) {
    this.variants = variants;
    this.checks = checks;
  }

  /** Writes report.md, report.html, the plots and requests.csv into {@code directory}. */
  static void write(Path directory, List<VariantResult> variants, List<CheckResult> checks)
      throws IOException {
    Files.createDirectories(directory);
    List<Plots.Plot> plots = Plots.of(variants);
    for (Plots.Plot plot : plots) {
      Files.write(directory.resolve(plot.fileName()), plot.png());
    }
    Report report = new Report(variants, checks);
    report.appendBody();
    Files.writeString(
        directory.resolve("report.md"), report.toMarkdown(plots), StandardCharsets.UTF_8);
    Files.writeString(
        directory.resolve("report.html"), report.toHtml(plots), StandardCharsets.UTF_8);
    RequestsCsv.write(directory.resolve("requests.csv"), variants);
  }

  /** Returns true if every check holds. */
  static boolean allHold(List<CheckResult> checks) {
    return checks.stream().allMatch(CheckResult::holds);
  }

  /** Formats the checks as a plain-text table. */
  static String summary(List<CheckResult> checks) {
    StringBuilder text = new StringBuilder();
    for (CheckResult check : checks) {
      text.append(
          String.format(
              Locale.ROOT,
              "  %-5s %-58s %s (%s)%n",
              check.holds() ? "holds" : "FAILS",
              check.name(),
              check.measured(),
              check.required()));
    }
    return text.toString();
  }

  private void appendBody() {
    VariantResult first = variants.get(0);
    Experiment experiment = first.experiment();
    markdown
        .append("# Experiment ")
        .append(experiment.name())
        .append("\n\nVerdict: **")
        .append(allHold(checks) ? "holds" : "FAILS")
        .append("**\n\n")
        .append(first.results().size())
        .append(" requests in ")
        .append(experiment.duration().toMillis() / 1_000.0)
        .append(" s, seed ")
        .append(experiment.seed())
        .append(", ")
        .append(first.samples().targets().size())
        .append(" targets; the load generator started requests at most ")
        .append(Checks.formatMillis(first.maxSenderLagNanos()))
        .append(" late, which counts as latency. Latency and headroom leave out the first ")
        .append(Checks.formatMillis(experiment.warmUp().toNanos()))
        .append(
            ", the warm-up of freshly started processes; everything else is measured from"
                + " the first request.\n");
    appendChecks();
    appendFaults(first);
    appendComparison();
    appendOutcomeCounts(first);
    appendSlowRequests(SlowRequests.of(first));
  }

  private void appendChecks() {
    appendHeading("Checks");
    appendRow("verdict", "property", "measured", "required");
    appendRow("---", "---", "---", "---");
    for (CheckResult check : checks) {
      appendRow(
          check.holds() ? "holds" : "**FAILS**", check.name(), check.measured(), check.required());
    }
  }

  private void appendFaults(VariantResult variant) {
    if (variant.injected().isEmpty()) {
      return;
    }
    appendHeading("Faults injected");
    appendRow("at", "fault", "hit");
    appendRow("---", "---", "---");
    for (FaultSchedule.InjectedFault fault : variant.injected()) {
      appendRow(
          Checks.formatMillis(fault.atNanos()), fault.fault().kind().name(), fault.affected());
    }
  }

  private void appendComparison() {
    appendHeading("Variants");
    appendRow(
        "service",
        "variant",
        "requests",
        "whole",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "max ms",
        "least headroom",
        "outside region");
    appendRow("---", "---", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:");
    for (Contract.Service service : variants.get(0).experiment().contract().services()) {
      for (VariantResult variant : variants) {
        if (!variant.results(service.name()).isEmpty()) {
          appendVariantRow(service.name(), variant);
        }
      }
    }
    markdown.append(
        "\n'random choice' and 'local only' send the same requests directly to the targets,"
            + " without an entry VM; 'other build' runs the entry VMs of --baseline-build. Each"
            + " variant has fresh targets (with --entries, all variants share the same targets);"
            + " links add no delay. Latency covers whole answers only, so compare it together with"
            + " their fraction. 'outside region' is the fraction"
            + " of whole answers from a target outside the caller's region, each of which would"
            + " incur the contract's delay between regions twice.\n");
    appendFailedChecks();
  }

  /**
   * Lists the checks that each variant fails, so that a baseline's latency can be weighed against
   * the properties it violates.
   */
  private void appendFailedChecks() {
    markdown.append("\n");
    for (VariantResult variant : variants) {
      List<String> failed = new ArrayList<>();
      for (CheckResult check : Checks.of(variant)) {
        if (!check.holds()) {
          failed.add(check.name() + " (" + check.measured() + ")");
        }
      }
      markdown
          .append("- ")
          .append(variant.name())
          .append(failed.isEmpty() ? ": every check holds" : " fails: " + String.join("; ", failed))
          .append(".\n");
    }
  }

  private void appendVariantRow(String service, VariantResult variant) {
    Histogram latency = variant.latency(service);
    appendRow(
        service,
        variant.name(),
        String.valueOf(variant.results(service).size()),
        Checks.formatPercent(variant.completeFraction(service)),
        formatPercentileMillis(latency, 50),
        formatPercentileMillis(latency, 90),
        formatPercentileMillis(latency, 99),
        formatPercentileMillis(latency, 100),
        Checks.formatPercent(variant.minHeadroom(service)),
        Checks.formatPercent(variant.crossRegionFraction(service)));
  }

  private static String formatPercentileMillis(Histogram histogram, double percentile) {
    return String.format(Locale.ROOT, "%.1f", histogram.getValueAtPercentile(percentile) / 1e3);
  }

  private void appendOutcomeCounts(VariantResult variant) {
    appendHeading("Results that callers saw");
    appendRow("service", "told", "result", "requests");
    appendRow("---", "---", "---", "--:");
    Map<String, Integer> counts = new TreeMap<>();
    for (RequestResult result : variant.results()) {
      String key = result.arrival().service() + " | " + result.outcome() + " | " + result.code();
      counts.merge(key, 1, Integer::sum);
    }
    counts.forEach((key, count) -> appendRow(key, String.valueOf(count)));
    long unknown = variant.results().stream().filter(e -> e.outcome() == Outcome.UNKNOWN).count();
    markdown.append("\nUnknown: ").append(unknown).append(".\n");
  }

  /**
   * Lists the events of the slowest requests from all processes, in order, to show why they were
   * slow.
   */
  private void appendSlowRequests(SlowRequests slow) {
    appendHeading("Slowest and lost requests");
    markdown
        .append(
            "For each service, the three slowest whole answers after the warm-up and at most three"
                + " requests whose outcome is unknown or wrong, with their events from all"
                + " processes. ")
        .append("Times are relative to the request's first event.\n");
    slow.eventsByRequest().forEach(this::appendRequestEvents);
  }

  private void appendRequestEvents(RequestResult result, List<TimeLine.Entry> entries) {
    markdown
        .append("\n### ")
        .append(result.arrival().requestId())
        .append(": ")
        .append(Checks.formatMillis(result.latencyNanos()))
        .append(", due at ")
        .append(Checks.formatMillis(result.arrival().dueNanos()))
        .append(", from ")
        .append(result.arrival().region())
        .append(", tries ")
        .append(result.attempts())
        .append(", told ")
        .append(result.outcome())
        .append(' ')
        .append(result.code())
        .append("\n\n");
    if (entries.isEmpty()) {
      markdown.append("No events were fetched for this request.\n");
      return;
    }
    appendRow("after the first event", "entry VM", "event", "subject", "detail");
    appendRow("--:", "---", "---", "---", "---");
    long first = entries.get(0).micros();
    for (TimeLine.Entry entry : entries) {
      appendRow(
          String.format(Locale.ROOT, "%.1f ms", (entry.micros() - first) / 1e3),
          entry.vm(),
          entry.event().kind().name(),
          entry.event().subject(),
          entry.event().detail());
    }
  }

  private void appendHeading(String text) {
    markdown.append("\n## ").append(text).append("\n\n");
  }

  private void appendRow(String... cells) {
    markdown.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }

  private String toMarkdown(List<Plots.Plot> plots) {
    StringBuilder text = new StringBuilder(markdown);
    text.append("\n## Pictures\n");
    for (Plots.Plot plot : plots) {
      text.append("\n![").append(plot.title()).append("](").append(plot.fileName()).append(")\n");
    }
    return text.toString();
  }

  private String toHtml(List<Plots.Plot> plots) {
    StringBuilder html = new StringBuilder();
    html.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Experiment ")
        .append(escape(variants.get(0).experiment().name()))
        .append(
            "</title><style>body{font:14px sans-serif;margin:1.5em;max-width:72em}img{max-width:100%}.holds{color:#1e8449}.fails{color:#c0392b}")
        .append("table{border-collapse:collapse}td{padding:2px 10px;border-bottom:1px solid #ddd}")
        .append("</style></head><body>");
    List<String> table = new ArrayList<>();
    for (String line : markdown.toString().split("\n", -1)) {
      if (line.startsWith("| ")) {
        table.add(line);
        continue;
      }
      flushTable(table, html);
      if (line.startsWith("### ")) {
        html.append("<h3>").append(escape(line.substring(4))).append("</h3>");
      } else if (line.startsWith("## ")) {
        html.append("<h2>").append(escape(line.substring(3))).append("</h2>");
      } else if (line.startsWith("# ")) {
        html.append("<h1>").append(escape(line.substring(2))).append("</h1>");
      } else if (!line.isBlank()) {
        html.append("<p>").append(renderBold(escape(line))).append("</p>");
      }
    }
    flushTable(table, html);
    for (Plots.Plot plot : plots) {
      html.append("<p><img alt=\"")
          .append(escape(plot.title()))
          .append("\" src=\"data:image/png;base64,")
          .append(Base64.getEncoder().encodeToString(plot.png()))
          .append("\"></p>");
    }
    return html.append("</body></html>\n").toString();
  }

  private static void flushTable(List<String> table, StringBuilder html) {
    if (table.isEmpty()) {
      return;
    }
    html.append("<table>");
    for (int i = 0; i < table.size(); i++) {
      if (i == 1) {
        continue;
      }
      String tag = i == 0 ? "th" : "td";
      html.append("<tr>");
      String line = table.get(i);
      for (String cell : line.substring(2, line.length() - 2).split(" \\| ", -1)) {
        html.append("<").append(tag).append(">").append(renderBold(escape(cell)));
        html.append("</").append(tag).append(">");
      }
      html.append("</tr>");
    }
    html.append("</table>");
    table.clear();
  }

  private static String renderBold(String text) {
    return text.replaceAll("\\*\\*FAILS\\*\\*", "<strong class=\"fails\">FAILS</strong>")
        .replaceAll("\\*\\*holds\\*\\*", "<strong class=\"holds\">holds</strong>")
        .replaceAll("\\*\\*([^*]+)\\*\\*", "<strong>$1</strong>");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
