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
import org.sageladder.tools.load.Ending.What;
import org.sageladder.tools.timeline.TimeLine;

/** Report of an experiment in Markdown and as one HTML page. */
final class Report {
  private final List<VariantResult> variants;
  private final List<CheckResult> checks;
  private final StringBuilder markdown = new StringBuilder();

  private Report(List<VariantResult> variants, List<CheckResult> checks) {
    this.variants = variants;
    this.checks = checks;
  }

  /** Writes report.md, report.html and the pictures into {@code directory}. */
  static void write(Path directory, List<VariantResult> variants, List<CheckResult> checks)
      throws IOException {
    Files.createDirectories(directory);
    List<Plots.Plot> plots = Plots.of(variants);
    for (Plots.Plot plot : plots) {
      Files.write(directory.resolve(plot.fileName()), plot.png());
    }
    Report report = new Report(variants, checks);
    report.body();
    Files.writeString(
        directory.resolve("report.md"), report.markdown(plots), StandardCharsets.UTF_8);
    Files.writeString(directory.resolve("report.html"), report.html(plots), StandardCharsets.UTF_8);
    RequestsCsv.write(directory.resolve("requests.csv"), variants);
  }

  /** True where every check holds. */
  static boolean holds(List<CheckResult> checks) {
    return checks.stream().allMatch(CheckResult::holds);
  }

  /** The checks as a table of text. */
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

  private void body() {
    VariantResult first = variants.get(0);
    Experiment experiment = first.experiment();
    markdown
        .append("# Experiment ")
        .append(experiment.name())
        .append("\n\nVerdict: **")
        .append(holds(checks) ? "holds" : "FAILS")
        .append("**\n\n")
        .append(first.endings().size())
        .append(" requests in ")
        .append(experiment.length().toMillis() / 1_000.0)
        .append(" s, seed ")
        .append(experiment.seed())
        .append(", ")
        .append(first.samples().targets().size())
        .append(" targets; the tool itself started requests at most ")
        .append(Checks.millis(first.senderLagNanos()))
        .append(" late, which counts as latency. Latency and headroom leave out the first ")
        .append(Checks.millis(experiment.warmUp().toNanos()))
        .append(", the warm-up of fresh processes; all else counts from the first request.\n");
    checks();
    faults(first);
    comparison();
    results(first);
    slowest(SlowRequests.of(first));
  }

  private void checks() {
    heading("Checks");
    row("verdict", "property", "measured", "required");
    row("---", "---", "---", "---");
    for (CheckResult check : checks) {
      row(check.holds() ? "holds" : "**FAILS**", check.name(), check.measured(), check.required());
    }
  }

  private void faults(VariantResult variant) {
    if (variant.injected().isEmpty()) {
      return;
    }
    heading("Faults injected");
    row("at", "fault", "hit");
    row("---", "---", "---");
    for (FaultSchedule.Injected fault : variant.injected()) {
      row(Checks.millis(fault.atNanos()), fault.fault().kind().name(), fault.hit());
    }
  }

  private void comparison() {
    heading("Variants");
    row(
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
    row("---", "---", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:");
    for (Contract.Service service : variants.get(0).experiment().contract().services()) {
      for (VariantResult variant : variants) {
        if (!variant.endings(service.name()).isEmpty()) {
          compare(service.name(), variant);
        }
      }
    }
    markdown.append(
        "\n'random choice' and 'local only' send the same arrivals straight to the targets, with no entry"
            + " VM in between; 'other build' runs the entry VMs of --baseline-build. Each variant has"
            + " fresh targets (with --entries the same ones); links add no delay. Latency is that of whole"
            + " answers only, so it is to be read beside their share. 'outside region' is the share"
            + " of whole answers from a target outside the caller's region, each of which would"
            + " pay the contract's delay between regions twice.\n");
    breaches();
  }

  /** What the same checks say of each variant, so that a baseline's speed is read with its cost. */
  private void breaches() {
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

  private void compare(String service, VariantResult variant) {
    Histogram latency = variant.latency(service);
    row(
        service,
        variant.name(),
        String.valueOf(variant.endings(service).size()),
        Checks.percent(variant.wholeShare(service)),
        millis(latency, 50),
        millis(latency, 90),
        millis(latency, 99),
        millis(latency, 100),
        Checks.percent(variant.leastHeadroom(service)),
        Checks.percent(variant.abroadShare(service)));
  }

  private static String millis(Histogram histogram, double percentile) {
    return String.format(Locale.ROOT, "%.1f", histogram.getValueAtPercentile(percentile) / 1e3);
  }

  private void results(VariantResult variant) {
    heading("Results that callers saw");
    row("service", "told", "result", "requests");
    row("---", "---", "---", "--:");
    Map<String, Integer> counts = new TreeMap<>();
    for (Ending ending : variant.endings()) {
      String key = ending.arrival().service() + " | " + ending.what() + " | " + ending.code();
      counts.merge(key, 1, Integer::sum);
    }
    counts.forEach((key, count) -> row(key, String.valueOf(count)));
    long unknown = variant.endings().stream().filter(e -> e.what() == What.UNKNOWN).count();
    markdown.append("\nUnknown: ").append(unknown).append(".\n");
  }

  /** Why the slowest requests were slow: their events over all processes, in order. */
  private void slowest(SlowRequests slow) {
    heading("Slowest and lost requests");
    markdown
        .append(
            "Of each service the three slowest whole answers after the warm-up and at most three"
                + " requests whose run is not known, with their events over all processes. ")
        .append("Times are after its first event.\n");
    slow.stories().forEach(this::story);
  }

  private void story(Ending ending, List<TimeLine.Entry> entries) {
    markdown
        .append("\n### ")
        .append(ending.arrival().key())
        .append(": ")
        .append(Checks.millis(ending.latencyNanos()))
        .append(", due at ")
        .append(Checks.millis(ending.arrival().dueNanos()))
        .append(", from ")
        .append(ending.arrival().region())
        .append(", tries ")
        .append(ending.tries())
        .append(", told ")
        .append(ending.what())
        .append(' ')
        .append(ending.code())
        .append("\n\n");
    if (entries.isEmpty()) {
      markdown.append("No events: the processes were not asked.\n");
      return;
    }
    row("after the first event", "entry VM", "event", "subject", "detail");
    row("--:", "---", "---", "---", "---");
    long first = entries.get(0).micros();
    for (TimeLine.Entry entry : entries) {
      row(
          String.format(Locale.ROOT, "%.1f ms", (entry.micros() - first) / 1e3),
          entry.vm(),
          entry.event().kind().name(),
          entry.event().subject(),
          entry.event().detail());
    }
  }

  private void heading(String text) {
    markdown.append("\n## ").append(text).append("\n\n");
  }

  private void row(String... cells) {
    markdown.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }

  private String markdown(List<Plots.Plot> plots) {
    StringBuilder text = new StringBuilder(markdown);
    text.append("\n## Pictures\n");
    for (Plots.Plot plot : plots) {
      text.append("\n![").append(plot.title()).append("](").append(plot.fileName()).append(")\n");
    }
    return text.toString();
  }

  private String html(List<Plots.Plot> plots) {
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
      flush(table, html);
      if (line.startsWith("### ")) {
        html.append("<h3>").append(escape(line.substring(4))).append("</h3>");
      } else if (line.startsWith("## ")) {
        html.append("<h2>").append(escape(line.substring(3))).append("</h2>");
      } else if (line.startsWith("# ")) {
        html.append("<h1>").append(escape(line.substring(2))).append("</h1>");
      } else if (!line.isBlank()) {
        html.append("<p>").append(bold(escape(line))).append("</p>");
      }
    }
    flush(table, html);
    for (Plots.Plot plot : plots) {
      html.append("<p><img alt=\"")
          .append(escape(plot.title()))
          .append("\" src=\"data:image/png;base64,")
          .append(Base64.getEncoder().encodeToString(plot.png()))
          .append("\"></p>");
    }
    return html.append("</body></html>\n").toString();
  }

  private static void flush(List<String> table, StringBuilder html) {
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
        html.append("<").append(tag).append(">").append(bold(escape(cell)));
        html.append("</").append(tag).append(">");
      }
      html.append("</tr>");
    }
    html.append("</table>");
    table.clear();
  }

  private static String bold(String text) {
    return text.replaceAll("\\*\\*FAILS\\*\\*", "<strong class=\"fails\">FAILS</strong>")
        .replaceAll("\\*\\*holds\\*\\*", "<strong class=\"holds\">holds</strong>")
        .replaceAll("\\*\\*([^*]+)\\*\\*", "<strong>$1</strong>");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
