package org.sageladder.tools.timeline;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.event.Event;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.event.EventPage;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.http.BufferedHttpResponse;

/**
 * Fetches the events of one process from its operators' port; repeated calls fetch incrementally.
 *
 * <pre>{@code
 * EventFetcher fetcher = EventFetcher.of(URI.create("http://127.0.0.1:7301"), client);
 * ProcessEvents events = fetcher.fetch();
 * }</pre>
 */
public final class EventFetcher {
  private static final int MAX_PAGES = 10_000;

  private final URI operatorUri;
  private final BlockingHttpClient client;
  private final TimeSource timeSource;
  private final long startNanos;
  private final long startMicros;
  private final List<Event> events = new ArrayList<>();
  private ClockOffset clockOffset = ClockOffset.UNKNOWN;
  private long incarnation = -1;
  private long lostCount;
  private long nextSequence;

  private EventFetcher(URI operatorUri, BlockingHttpClient client, TimeSource timeSource) {
    this.operatorUri = operatorUri;
    this.client = client;
    this.timeSource = timeSource;
    this.startNanos = timeSource.nanos();
    this.startMicros = timeSource.wallMillis() * 1_000;
  }

  /** Creates a fetcher that starts with the oldest event of the process. */
  public static EventFetcher of(URI operatorUri, BlockingHttpClient client) {
    return new EventFetcher(operatorUri, client, TimeSource.system());
  }

  /**
   * Fetches all new events and returns all events fetched so far.
   *
   * <p>A restarted process numbers its events from 1 again: the events of its previous incarnation
   * are kept, and those of the new incarnation are read from the start.
   *
   * @throws IOException if the process does not answer or its answer is not a page of events
   */
  public ProcessEvents fetch() throws IOException {
    for (int page = 0; page < MAX_PAGES; page++) {
      long sentMicros = nowMicros();
      BufferedHttpResponse response =
          client.get(operatorUri.resolve("/v1/events?after=" + nextSequence));
      long answeredMicros = nowMicros();
      if (response.status() != 200) {
        throw new IOException(operatorUri + "/v1/events: status " + response.status());
      }
      EventPage read = EventPage.fromJson(response.body());
      if (incarnation >= 0 && read.incarnation() != incarnation) {
        incarnation = read.incarnation();
        nextSequence = 0;
        clockOffset = ClockOffset.UNKNOWN;
        continue;
      }
      incarnation = read.incarnation();
      clockOffset =
          clockOffset.intersect(
              ClockOffset.ofExchange(sentMicros, read.nowMicros(), answeredMicros));
      events.addAll(read.events());
      lostCount += read.lost();
      nextSequence = read.next();
      if (read.events().isEmpty()) {
        return new ProcessEvents(
            read.process(), read.incarnation(), read.zone(), lostCount, clockOffset, events);
      }
    }
    throw new IOException(
        operatorUri + "/v1/events: still new events after " + MAX_PAGES + " pages");
  }

  private long nowMicros() {
    return startMicros + (timeSource.nanos() - startNanos) / 1_000;
  }
}
