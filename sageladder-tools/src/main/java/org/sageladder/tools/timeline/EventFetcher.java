package org.sageladder.tools.timeline;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.sageladder.core.event.Event;
import org.sageladder.core.time.TimeSource;
import org.sageladder.platform.event.EventPage;
import org.sageladder.tools.http.HttpAnswer;
import org.sageladder.tools.http.HttpCaller;

/**
 * Fetches the events of one process from its operators' port, again and again if wanted.
 *
 * <pre>{@code
 * EventFetcher fetcher = EventFetcher.of(URI.create("http://127.0.0.1:7301"), caller);
 * ProcessEvents events = fetcher.fetch();
 * }</pre>
 */
public final class EventFetcher {
  private static final int MOST_PAGES = 10_000;

  private final URI operators;
  private final HttpCaller caller;
  private final TimeSource time;
  private final long startNanos;
  private final long startMicros;
  private final List<Event> events = new ArrayList<>();
  private Offset clock = Offset.UNKNOWN;
  private long incarnation = -1;
  private long lost;
  private long next;

  private EventFetcher(URI operators, HttpCaller caller, TimeSource time) {
    this.operators = operators;
    this.caller = caller;
    this.time = time;
    this.startNanos = time.nanos();
    this.startMicros = time.wallMillis() * 1_000;
  }

  /** A fetcher that has fetched nothing yet. */
  public static EventFetcher of(URI operators, HttpCaller caller) {
    return new EventFetcher(operators, caller, TimeSource.system());
  }

  /**
   * Fetches all that is new and returns all that was fetched so far.
   *
   * <p>A process that was started anew numbers its events from 1 again: what was fetched of the one
   * before is kept, and the new one is read from its start.
   *
   * @throws IOException where the process gives no answer or one that is no page of events
   */
  public ProcessEvents fetch() throws IOException {
    for (int page = 0; page < MOST_PAGES; page++) {
      long asked = nowMicros();
      HttpAnswer answer = caller.get(operators.resolve("/v1/events?after=" + next));
      long answered = nowMicros();
      if (answer.status() != 200) {
        throw new IOException(operators + "/v1/events: status " + answer.status());
      }
      EventPage read = EventPage.fromJson(answer.body());
      if (incarnation >= 0 && read.incarnation() != incarnation) {
        incarnation = read.incarnation();
        next = 0;
        clock = Offset.UNKNOWN;
        continue;
      }
      incarnation = read.incarnation();
      clock = clock.narrowedBy(Offset.ofExchange(asked, read.nowMicros(), answered));
      events.addAll(read.events());
      lost += read.lost();
      next = read.next();
      if (read.events().isEmpty()) {
        return new ProcessEvents(
            read.process(), read.incarnation(), read.zone(), lost, clock, events);
      }
    }
    throw new IOException(
        operators + "/v1/events: still new events after " + MOST_PAGES + " pages");
  }

  private long nowMicros() {
    return startMicros + (time.nanos() - startNanos) / 1_000;
  }
}
