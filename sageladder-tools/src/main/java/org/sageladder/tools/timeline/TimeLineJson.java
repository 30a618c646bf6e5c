package org.sageladder.tools.timeline;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/** Formats a time line as JSON. */
final class TimeLineJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private TimeLineJson() {}

  private record Document(long lost, List<Source> processes, List<TimeLine.Entry> entries) {}

  private record Source(
      String vm,
      String zone,
      long incarnation,
      long lost,
      long clockLeadMicros,
      long clockUncertaintyMicros) {}

  static String write(TimeLine timeLine, Predicate<Event> filter) {
    List<Source> processes = new ArrayList<>();
    for (int p = 0; p < timeLine.processes().size(); p++) {
      ProcessEvents events = timeLine.processes().get(p);
      ClockOffset offset = timeLine.offsets().get(p);
      processes.add(
          new Source(
              events.vm(),
              events.zone(),
              events.incarnation(),
              events.lostCount(),
              offset.midpointMicros(),
              offset.uncertaintyMicros()));
    }
    try {
      return JSON.writerWithDefaultPrettyPrinter()
              .writeValueAsString(
                  new Document(timeLine.lostCount(), processes, timeLine.entries(filter)))
          + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not serialize the time line", e);
    }
  }
}
