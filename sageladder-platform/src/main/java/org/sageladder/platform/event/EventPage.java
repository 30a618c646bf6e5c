package org.sageladder.platform.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventBuffer;

/**
 * Response to {@code GET /v1/events?after=N} on an operators' port.
 *
 * <pre>{@code
 * byte[] body = EventPage.of("tallinn-1-a", 7, "tallinn-1", buffer, after, 5_000).toJson();
 * }</pre>
 *
 * @param process name of the VM whose process recorded the events
 * @param incarnation increases with each start of the process; event sequences restart with it
 * @param zone availability zone of the process
 * @param nowMicros event clock of the process at the time of the response, in microseconds since
 *     the Unix epoch
 * @param lost number of events after N that later events had already replaced in the buffer
 * @param next value of N for the next request
 */
public record EventPage(
    String process,
    long incarnation,
    String zone,
    long nowMicros,
    long lost,
    long next,
    List<Event> events) {
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Copies the list, so that the page cannot change. */
  public EventPage {
    events = List.copyOf(events);
  }

  /** Returns the events of {@code buffer} after sequence {@code after}, at most {@code limit}. */
  public static EventPage of(
      String process, long incarnation, String zone, EventBuffer buffer, long after, int limit) {
    EventBuffer.Batch batch = buffer.readAfter(after, limit);
    return new EventPage(
        process,
        incarnation,
        zone,
        buffer.wallMicros(),
        batch.lostCount(),
        batch.lastSequence(),
        batch.events());
  }

  /** Returns the page as JSON in UTF-8. */
  public byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the event page could not be serialized", e);
    }
  }

  /**
   * Parses a page.
   *
   * @throws IOException if the bytes are not an event page
   */
  public static EventPage fromJson(byte[] json) throws IOException {
    return JSON.readValue(json, EventPage.class);
  }
}
