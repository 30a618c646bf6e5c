package org.sageladder.tools.timeline;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/** Text form of a time line. */
final class TimeLineText {
  private static final DateTimeFormatter CLOCK =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSSSSS", Locale.ROOT).withZone(ZoneOffset.UTC);

  private TimeLineText() {}

  static String write(TimeLine line, Predicate<Event> filter) {
    StringBuilder text = new StringBuilder();
    for (int p = 0; p < line.processes().size(); p++) {
      text.append("# ").append(processLine(line, p)).append('\n');
    }
    for (TimeLine.Entry entry : line.entries(filter)) {
      text.append(entryLine(entry)).append('\n');
    }
    return text.toString();
  }

  /** One process with its clock's lead and its loss. */
  static String processLine(TimeLine line, int process) {
    ProcessEvents events = line.processes().get(process);
    Offset offset = line.offsets().get(process);
    return String.format(
        Locale.ROOT,
        "%s (zone %s, incarnation %d): %d events, %d lost, clock %+.3f ms +-%.3f ms",
        events.process(),
        events.zone(),
        events.incarnation(),
        events.events().size(),
        events.lost(),
        offset.middle() / 1e3,
        offset.uncertainty() / 1e3);
  }

  static String entryLine(TimeLine.Entry entry) {
    Event event = entry.event();
    StringBuilder text = new StringBuilder();
    text.append(clock(entry.micros()))
        .append(String.format(Locale.ROOT, " +-%.3fms ", entry.uncertainty() / 1e3))
        .append(entry.vm())
        .append(' ')
        .append(event.kind());
    append(text, "request", event.request());
    append(text, "contract", event.contract());
    append(text, "subject", event.subject());
    append(text, "revision", event.revision() == 0 ? "" : String.valueOf(event.revision()));
    if (!event.detail().isEmpty()) {
      text.append(": ").append(event.detail());
    }
    return text.toString();
  }

  static String clock(long micros) {
    return CLOCK.format(
        Instant.ofEpochSecond(
            Math.floorDiv(micros, 1_000_000L), Math.floorMod(micros, 1_000_000L) * 1_000));
  }

  private static void append(StringBuilder text, String name, String value) {
    if (!value.isEmpty()) {
      text.append(' ').append(name).append('=').append(value);
    }
  }
}
