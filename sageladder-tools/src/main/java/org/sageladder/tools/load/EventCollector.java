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
 * Fetches the events of the system's processes again and again while an experiment runs, so that
 * those of a process that ends on the way, and those that give way to newer ones, are kept.
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

    /** Keeps what was fetched before where the process has ended or is stopping. */
    void fetch() {
      try {
        latest = fetcher.fetch();
      } catch (IOException e) {
        LOG.atFine().withCause(e).log("no events");
      }
    }
  }

  /** Watches the processes whose operators' ports are given; there may be none. */
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

  /** All that was told until now. */
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
