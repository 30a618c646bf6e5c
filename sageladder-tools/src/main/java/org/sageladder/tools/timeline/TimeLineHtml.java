package org.sageladder.tools.timeline;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;

/**
 * Formats a time line as an HTML page with a diagram: one lane per process, arrows for messages.
 */
final class TimeLineHtml {
  private static final int MAX_DRAWN_EVENTS = 2_000;
  private static final int LANE_HEIGHT = 64;
  private static final int LABEL_WIDTH = 190;
  private static final int WIDTH = 1_400;
  private static final int TOP = 30;

  /** Labels of more events than this would overlap. */
  private static final int MAX_LABELLED_EVENTS = 60;

  private static final int MAX_LANE_NAME_LENGTH = 30;
  private static final int[] LABEL_OFFSETS = {-8, 16, -18, 26};

  private final TimeLine timeLine;
  private final List<TimeLine.Entry> entries;
  private final List<TimeLine.Entry> drawnEntries;

  /** Indexes of the processes that have a drawn event, in the order of their lanes. */
  private final List<Integer> lanes;

  private final StringBuilder html = new StringBuilder();

  private TimeLineHtml(TimeLine timeLine, Predicate<Event> filter) {
    this.timeLine = timeLine;
    this.entries = timeLine.entries(filter);
    this.drawnEntries = entries.subList(0, Math.min(MAX_DRAWN_EVENTS, entries.size()));
    this.lanes = drawnEntries.stream().map(TimeLine.Entry::process).distinct().sorted().toList();
  }

  static String write(TimeLine timeLine, Predicate<Event> filter) {
    TimeLineHtml page = new TimeLineHtml(timeLine, filter);
    page.appendHead();
    if (!page.drawnEntries.isEmpty()) {
      page.appendDiagram(filter);
    }
    page.appendTable(!page.drawnEntries.isEmpty());
    return page.html.append("</body></html>\n").toString();
  }

  private void appendHead() {
    html.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<title>sageladder time line</title><style>")
        .append("body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}")
        .append("td,th{padding:2px 8px;text-align:left;border-bottom:1px solid #ddd}")
        .append("td.n{font-family:monospace;white-space:nowrap}svg{border:1px solid #ccc}")
        .append("</style></head><body><h1>Time line</h1><ul>");
    for (int p = 0; p < timeLine.processes().size(); p++) {
      html.append("<li>").append(escape(TimeLineText.formatProcess(timeLine, p))).append("</li>");
    }
    html.append("</ul>");
    if (timeLine.lostCount() > 0) {
      html.append("<p><strong>")
          .append(timeLine.lostCount())
          .append(
              " events were lost: they were overwritten before they were fetched.</strong></p>");
    }
    if (drawnEntries.size() < entries.size()) {
      html.append("<p>The diagram shows the first ")
          .append(drawnEntries.size())
          .append(" of ")
          .append(entries.size())
          .append(" events; the table shows all.</p>");
    }
  }

  private void appendDiagram(Predicate<Event> filter) {
    int height = TOP + LANE_HEIGHT * lanes.size() + 20;
    appendLegend();
    html.append(
        String.format(
            Locale.ROOT,
            "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"events by process\">",
            WIDTH,
            height));
    html.append(
        "<defs><marker id=\"a\" markerWidth=\"8\" markerHeight=\"8\" refX=\"7\" refY=\"4\""
            + " orient=\"auto\"><path d=\"M0,1 L7,4 L0,7\" fill=\"none\" stroke=\"#888\"/>"
            + "</marker></defs>");
    for (int p : lanes) {
      html.append(
          String.format(
              Locale.ROOT,
              "<text x=\"6\" y=\"%d\" font-size=\"12\">%s</text>"
                  + "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#ddd\"/>",
              laneY(p) + 4,
              escape(truncateStart(timeLine.processes().get(p).vm())),
              LABEL_WIDTH,
              laneY(p),
              WIDTH - 10,
              laneY(p)));
    }
    appendAxis(height);
    appendArrows(filter);
    for (int i = 0; i < drawnEntries.size(); i++) {
      appendEvent(drawnEntries.get(i));
      if (drawnEntries.size() <= MAX_LABELLED_EVENTS) {
        appendLabel(drawnEntries.get(i), i);
      }
    }
    html.append("</svg>");
  }

  /** Explains the diagram. */
  private void appendLegend() {
    html.append("<p>The diagram starts at ")
        .append(TimeLineText.formatClock(drawnEntries.get(0).micros()))
        .append(
            " UTC. Each lane is a process (processes without a shown event are omitted), each dot")
        .append(" an event; the pale bar around it shows the uncertainty of its time, an arrow a")
        .append(" message. Hover over a dot for its text. Colours: ");
    appendLegendEntry(EventKind.REFUSED, "refused, failed or lost");
    appendLegendEntry(EventKind.RETRIED, "retried, cancelled, leaving or silent");
    appendLegendEntry(EventKind.CONTRACT_IN_FORCE, "contract, view, lease or holding changed");
    appendLegendEntry(EventKind.ANSWERED, "answered");
    appendLegendEntry(EventKind.RECEIVED, "other");
    html.append("</p>");
  }

  private void appendLegendEntry(EventKind kind, String meaning) {
    html.append("<span style=\"color:")
        .append(colour(kind))
        .append("\">&#9679;</span> ")
        .append(meaning)
        .append("&ensp;");
  }

  private static String truncateStart(String name) {
    int excess = name.length() - MAX_LANE_NAME_LENGTH;
    return excess <= 0 ? name : "..." + name.substring(excess + 3);
  }

  private void appendAxis(int height) {
    long span = spanMicros();
    for (int tick = 0; tick <= 5; tick++) {
      double x = LABEL_WIDTH + tick * (WIDTH - LABEL_WIDTH - 20) / 5.0;
      html.append(
          String.format(
              Locale.ROOT,
              "<text x=\"%.1f\" y=\"16\" font-size=\"11\" fill=\"#666\">%+.3f ms</text>"
                  + "<line x1=\"%.1f\" y1=\"20\" x2=\"%.1f\" y2=\"%d\" stroke=\"#f0f0f0\"/>",
              x,
              tick * span / 5.0 / 1e3,
              x,
              x,
              height));
    }
  }

  private void appendArrows(Predicate<Event> filter) {
    long last = drawnEntries.get(drawnEntries.size() - 1).micros();
    for (TimeLine.MessageArrow arrow : timeLine.messageArrows(filter)) {
      if (arrow.to().micros() > last) {
        continue;
      }
      html.append(
          String.format(
              Locale.ROOT,
              "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#888\""
                  + " marker-end=\"url(#a)\"/>",
              x(arrow.from()),
              laneY(arrow.from().process()),
              x(arrow.to()),
              laneY(arrow.to().process())));
    }
  }

  private void appendEvent(TimeLine.Entry entry) {
    double spread = entry.uncertainty() * pixelsPerMicro();
    html.append(
        String.format(
            Locale.ROOT,
            "<g><title>%s</title><line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"%s\""
                + " stroke-opacity=\"0.3\" stroke-width=\"5\"/>"
                + "<circle cx=\"%.1f\" cy=\"%d\" r=\"5\" fill=\"%s\"/></g>",
            escape(TimeLineText.formatEntry(entry)),
            x(entry) - spread,
            laneY(entry.process()),
            x(entry) + spread,
            laneY(entry.process()),
            colour(entry.event().kind()),
            x(entry),
            laneY(entry.process()),
            colour(entry.event().kind())));
  }

  /** Writes the kind of the event next to its dot, alternately above and below it. */
  private void appendLabel(TimeLine.Entry entry, int number) {
    boolean atEnd = x(entry) > WIDTH - LABEL_WIDTH;
    html.append(
        String.format(
            Locale.ROOT,
            "<text x=\"%.1f\" y=\"%d\" font-size=\"9\" fill=\"#444\" text-anchor=\"%s\">%s</text>",
            x(entry),
            laneY(entry.process()) + LABEL_OFFSETS[number % LABEL_OFFSETS.length],
            atEnd ? "end" : "start",
            entry.event().kind()));
  }

  private void appendTable(boolean hasEvents) {
    if (!hasEvents) {
      html.append("<p>No event passes the filter.</p>");
      return;
    }
    html.append("<table><tr><th>time (UTC)</th><th>&plusmn; ms</th><th>process</th><th>event</th>")
        .append("<th>request</th><th>subject</th><th>revision</th><th>detail</th></tr>");
    for (TimeLine.Entry entry : entries) {
      Event event = entry.event();
      html.append("<tr><td class=\"n\">")
          .append(TimeLineText.formatClock(entry.micros()))
          .append("</td><td class=\"n\">")
          .append(String.format(Locale.ROOT, "%.3f", entry.uncertainty() / 1e3));
      for (String cell :
          List.of(
              entry.vm(),
              event.kind().name(),
              event.request(),
              event.subject(),
              event.revision() == 0 ? "" : String.valueOf(event.revision()),
              event.detail())) {
        html.append("</td><td>").append(escape(cell));
      }
      html.append("</td></tr>");
    }
    html.append("</table>");
  }

  private double x(TimeLine.Entry entry) {
    return LABEL_WIDTH + (entry.micros() - drawnEntries.get(0).micros()) * pixelsPerMicro();
  }

  private double pixelsPerMicro() {
    return (WIDTH - LABEL_WIDTH - 20) / (double) spanMicros();
  }

  private long spanMicros() {
    return Math.max(
        1, drawnEntries.get(drawnEntries.size() - 1).micros() - drawnEntries.get(0).micros());
  }

  private int laneY(int process) {
    return TOP + LANE_HEIGHT * lanes.indexOf(process) + LANE_HEIGHT / 2;
  }

  private static String colour(EventKind kind) {
    return switch (kind) {
      case REFUSED, FAILED, TARGET_CRASHED, QUARANTINED, STORE_DOWN, LINK_DROPPED, LEASE_LOST ->
          "#c0392b";
      case RETRIED,
          CANCELLED,
          MEMBER_SILENT,
          MEMBER_LEFT,
          TARGET_LEAVING,
          STOPPING,
          PERMIT_REPEATED ->
          "#d68910";
      case CONTRACT_IN_FORCE, VIEW_CHANGED, LEASE_GAINED, TARGET_HELD, TARGET_GIVEN_UP -> "#6c3483";
      case ANSWERED -> "#1e8449";
      default -> "#2471a3";
    };
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
