package org.sageladder.tools.timeline;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/** Formats a time line as plain text. */
final class TimeLineText {
  private static final DateTimeFormatter CLOCK =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSSSSS", Locale.ROOT).withZone(ZoneOffset.UTC);

  private TimeLineText() {}

  static String write(TimeLine timeLine, Predicate<Event> filter) {
    StringBuilder text = new StringBuilder();
    for (int p = 0; p < timeLine.processes().size(); p++) {
      text.append("# ").append(formatProcess(timeLine, p)).append('\n');
    }
    for (TimeLine.Entry entry : timeLine.entries(filter)) {
      text.append(formatEntry(entry)).append('\n');
    }
    return text.toString();
  }

  /** Formats one process with the lead of its clock and its number of lost events. */
  static String formatProcess(TimeLine timeLine, int process) {
    ProcessEvents events = timeLine.processes().get(process);
    ClockOffset offset = timeLine.offsets().get(process);
    return String.format(
        Locale.ROOT,
        "%s (zone %s, incarnation %d): %d events, %d lost, clock %+.3f ms +-%.3f ms",
        events.vm(),
        events.zone(),
        events.incarnation(),
        events.events().size(),
        events.lostCount(),
        offset.midpointMicros() / 1e3,
        offset.uncertaintyMicros() / 1e3);
  }

  static String formatEntry(TimeLine.Entry entry) {
    Event event = entry.event();
    StringBuilder text = new StringBuilder();
    text.append(formatClock(entry.micros()))
        .append(String.format(Locale.ROOT, " +-%.3fms ", entry.uncertainty() / 1e3))
        .append(entry.vm())
        .append(' ')
        .append(event.kind());
    appendField(text, "request", event.request());
    appendField(text, "contract", event.contract());
    appendField(text, "subject", event.subject());
    appendField(text, "revision", event.revision() == 0 ? "" : String.valueOf(event.revision()));
    if (!event.detail().isEmpty()) {
      text.append(": ").append(event.detail());
    }
    return text.toString();
  }

  static String formatClock(long micros) {
    return CLOCK.format(
        Instant.ofEpochSecond(
            Math.floorDiv(micros, 1_000_000L), Math.floorMod(micros, 1_000_000L) * 1_000));
  }

  private static void appendField(StringBuilder text, String name, String value) {
    if (!value.isEmpty()) {
      text.append(' ').append(name).append('=').append(value);
    }
  }
}
