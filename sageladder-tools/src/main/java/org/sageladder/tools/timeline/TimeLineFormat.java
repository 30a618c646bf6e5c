package org.sageladder.tools.timeline;

import java.util.List;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/** An output format of {@code sageladder-timeline}. */
@FunctionalInterface
public interface TimeLineFormat {
  /**
   * Formats the events that pass {@code filter}, with the uncertainty of the clocks and the number
   * of lost events.
   */
  String write(TimeLine timeLine, Predicate<Event> filter);

  /** Plain text, one line per event. */
  static TimeLineFormat text() {
    return TimeLineText::write;
  }

  /** One JSON document. */
  static TimeLineFormat json() {
    return TimeLineJson::write;
  }

  /** An HTML page with a diagram and a table. */
  static TimeLineFormat html() {
    return TimeLineHtml::write;
  }

  /** The names of the formats. */
  static List<String> names() {
    return List.of("text", "json", "html");
  }
}
