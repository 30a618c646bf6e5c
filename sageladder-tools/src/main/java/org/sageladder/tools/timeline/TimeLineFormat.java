package org.sageladder.tools.timeline;

import java.util.List;
import java.util.function.Predicate;
import org.sageladder.core.event.Event;

/** Writes a time line in one of the forms that {@code sageladder-timeline} offers. */
@FunctionalInterface
public interface TimeLineFormat {
  /** The events that pass {@code filter}, with the clocks' uncertainty and the loss stated. */
  String write(TimeLine timeLine, Predicate<Event> filter);

  /** One line of text for each event. */
  static TimeLineFormat text() {
    return TimeLineText::write;
  }

  /** One JSON document. */
  static TimeLineFormat json() {
    return TimeLineJson::write;
  }

  /** A page with a picture and a table. */
  static TimeLineFormat html() {
    return TimeLineHtml::write;
  }

  /** The names of the formats. */
  static List<String> names() {
    return List.of("text", "json", "html");
  }
}
