package org.sageladder.platform.event;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.sageladder.core.event.Event;
import org.sageladder.core.event.EventBuffer;

/**
 * Answer of {@code GET /v1/events?after=N} on an operators' port.
 *
 * <pre>{@code
 * byte[] body = EventPage.of("tallinn-1-a", 7, "tallinn-1", buffer, after, 5_000).toJson();
 * }</pre>
 *
 * @param process name of the VM whose process recorded the events
 * @param incarnation grows with each start of the process; sequences begin anew with it
 * @param zone availability zone of the process
 * @param nowMicros the process's event clock as it answered, microseconds since the Unix epoch
 * @param lost events after N that had given way to later ones
 * @param next pass this as N in the next read
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

  /** What {@code buffer} holds after sequence {@code after}, at most {@code limit} events. */
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

  /** The page as JSON in UTF-8. */
  public byte[] toJson() {
    try {
      return JSON.writeValueAsBytes(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("records of plain values could not be written", e);
    }
  }

  /**
   * Reads a page back.
   *
   * @throws IOException where the bytes are no such page
   */
  public static EventPage fromJson(byte[] json) throws IOException {
    return JSON.readValue(json, EventPage.class);
  }
}
