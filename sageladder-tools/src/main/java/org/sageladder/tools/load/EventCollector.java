package org.sageladder.tools.load;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.sageladder.tools.http.BlockingHttpClient;
import org.sageladder.tools.timeline.EventFetcher;
import org.sageladder.tools.timeline.ProcessEvents;

/**
 * Periodically fetches the events of the system's processes while an experiment runs. This keeps
 * the events of processes that end during the experiment, and those that newer events later
 * overwrite in a process's buffer.
 */
final class EventCollector implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long FETCH_INTERVAL_MILLIS = 1_000;

  private final BlockingHttpClient client = BlockingHttpClient.withTimeout(CALL_TIMEOUT);
  private final Map<URI, Source> sources = new LinkedHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "events"));

  private EventCollector(List<URI> operatorAddresses) {
    for (URI uri : operatorAddresses) {
      sources.put(uri, new Source(EventFetcher.of(uri, client)));
    }
  }

  private static final class Source {
    private final EventFetcher fetcher;
    private @Nullable ProcessEvents latest;

    Source(EventFetcher fetcher) {
      this.fetcher = fetcher;
    }

    /**
     * Fetches new events; if the process has ended or is stopping, the events fetched earlier are
     * kept.
     */
    void fetch() {
      try {
        latest = fetcher.fetch();
      } catch (IOException e) {
        LOG.atFine().withCause(e).log("could not fetch events");
      }
    }
  }

  /**
   * Starts collecting from the processes with the given operators' addresses; the list may be
   * empty.
   */
  static EventCollector start(List<URI> operatorAddresses) {
    EventCollector collector = new EventCollector(operatorAddresses);
    var unused =
        collector.timer.scheduleWithFixedDelay(
            collector::fetch, FETCH_INTERVAL_MILLIS, FETCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    return collector;
  }

  private synchronized void fetch() {
    for (Source source : sources.values()) {
      source.fetch();
    }
  }

  /** Fetches once more and returns all events collected so far. */
  synchronized List<ProcessEvents> fetchEvents() {
    fetch();
    List<ProcessEvents> events = new ArrayList<>();
    for (Source source : sources.values()) {
      if (source.latest != null) {
        events.add(source.latest);
      }
    }
    return events;
  }

  @Override
  public void close() {
    timer.shutdownNow();
    client.close();
  }
}
