package org.sageladder.tools.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventKind;

class TimeLineTest {
  // The clock of the receiving VM "gate" is 40 ms behind. Sorted by wall clock, it would seem to
  // receive the request before it was forwarded, and an operator would suspect the wrong VM.
  @Test
  void receiptIsOrderedAfterItsSendDespiteClockSkew() {
    ProcessEvents edge =
        process(
            "edge",
            new ClockOffset(-3_000, 3_000),
            event(1, 100_000, EventKind.FORWARDED, "r", "gate"),
            event(2, 112_000, EventKind.ANSWERED, "r", "gate"));
    ProcessEvents gate =
        process(
            "gate",
            new ClockOffset(-90_000, 10_000),
            event(1, 62_000, EventKind.RECEIVED, "r", "", "edge"),
            event(2, 70_000, EventKind.ANSWERED, "r", "t-1"));

    TimeLine line = TimeLine.merge(List.of(edge, gate));

    assertEquals(
        List.of("edge FORWARDED", "gate RECEIVED", "gate ANSWERED", "edge ANSWERED"), order(line));
    assertEquals(2, line.messageArrows(EventFilter.all()).size());
  }

  @Test
  void messagesNarrowTheOffsetOfAProcessWithASlowFetch() {
    ProcessEvents edge =
        process(
            "edge",
            new ClockOffset(0, 0),
            event(1, 100_000, EventKind.FORWARDED, "r", "gate"),
            event(2, 112_000, EventKind.ANSWERED, "r", "gate"));
    ProcessEvents gate =
        process(
            "gate",
            new ClockOffset(-90_000, 10_000),
            event(1, 62_000, EventKind.RECEIVED, "r", "", "edge"),
            event(2, 70_000, EventKind.ANSWERED, "r", "t-1"));

    ClockOffset clockOffset = TimeLine.merge(List.of(edge, gate)).offsets().get(1);

    assertEquals(new ClockOffset(-42_000, -38_000), clockOffset);
    assertEquals(2_000, clockOffset.uncertaintyMicros());
  }

  // A caller used one request id twice, so two wrongly matched messages wait for each other.
  // Without a way out of this cycle, the events of both processes would be missing.
  @Test
  void mismatchedMessagesDropNoEvent() {
    ProcessEvents a =
        process(
            "a",
            new ClockOffset(0, 0),
            event(1, 10, EventKind.RECEIVED, "r", "", "b"),
            event(2, 20, EventKind.FORWARDED, "r", "b"));
    ProcessEvents b =
        process(
            "b",
            new ClockOffset(0, 0),
            event(1, 15, EventKind.RECEIVED, "r", "", "a"),
            event(2, 25, EventKind.FORWARDED, "r", "a"));

    assertEquals(4, TimeLine.merge(List.of(a, b)).entries(EventFilter.all()).size());
  }

  @Test
  void clockJumpFallsBackToTheFetchBounds() {
    ProcessEvents edge =
        process(
            "edge",
            new ClockOffset(0, 10),
            event(1, 100_000, EventKind.FORWARDED, "r", "gate"),
            event(2, 112_000, EventKind.ANSWERED, "r", "gate"));
    ProcessEvents gate =
        process(
            "gate",
            new ClockOffset(0, 10),
            event(1, 62_000, EventKind.RECEIVED, "r", "", "edge"),
            event(2, 70_000, EventKind.ANSWERED, "r", "t-1"));

    TimeLine line = TimeLine.merge(List.of(edge, gate));

    assertEquals(new ClockOffset(0, 10), line.offsets().get(1));
    assertEquals("gate RECEIVED", order(line).get(1));
  }

  @Test
  void filtersSelectByRequestContractSubjectAndRevision() {
    Event contract =
        new Event(1, 5, EventKind.CONTRACT_IN_FORCE, "", "kannelkoda", "contracts/k", 41, "");
    ProcessEvents a =
        process(
            "a", new ClockOffset(0, 0), contract, event(2, 10, EventKind.DISPATCHED, "r", "t-1"));
    TimeLine line = TimeLine.merge(List.of(a));

    assertEquals(1, line.entries(EventFilter.of("r", null, null, null)).size());
    assertEquals(1, line.entries(EventFilter.of(null, "kannelkoda", null, 41L)).size());
    assertEquals(1, line.entries(EventFilter.of(null, null, "t-1", null)).size());
    assertEquals(0, line.entries(EventFilter.of("r", "kannelkoda", null, null)).size());
  }

  @Test
  void eachFormatStatesLossAndUncertaintyAndEscapesText() {
    Event hostile = new Event(1, 5, EventKind.RECEIVED, "<b>", "k", "", 0, "\"&");
    ProcessEvents a =
        new ProcessEvents("a", 1, "z", 7, new ClockOffset(-2_000, 2_000), List.of(hostile));
    TimeLine line = TimeLine.merge(List.of(a));

    String text = TimeLineFormat.text().write(line, EventFilter.all());
    String json = TimeLineFormat.json().write(line, EventFilter.all());
    String html = TimeLineFormat.html().write(line, EventFilter.all());

    assertTrue(text.contains("1 events, 7 lost, clock +0.000 ms +-2.000 ms"), text);
    assertTrue(json.contains("\"lost\" : 7") && json.contains("\"uncertainty\" : 2000"), json);
    assertTrue(html.contains("7 events were lost") && html.contains("&lt;b&gt;"), html);
    assertTrue(html.contains("<svg") && !html.contains("<b>"), html);
  }

  private static ProcessEvents process(String name, ClockOffset clockOffset, Event... events) {
    return new ProcessEvents(name, 1, "z", 0, clockOffset, List.of(events));
  }

  private static Event event(
      long sequence, long micros, EventKind kind, String request, String subject) {
    return event(sequence, micros, kind, request, subject, "");
  }

  private static Event event(
      long sequence, long micros, EventKind kind, String request, String subject, String detail) {
    return new Event(sequence, micros, kind, request, "", subject, 0, detail);
  }

  private static List<String> order(TimeLine line) {
    return line.entries(EventFilter.all()).stream()
        .map(entry -> entry.vm() + " " + entry.event().kind())
        .toList();
  }
}
