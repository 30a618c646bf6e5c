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
import org.sageladder.tools.http.HttpCaller;
import org.sageladder.tools.timeline.EventFetcher;
import org.sageladder.tools.timeline.ProcessEvents;

/**
 * Fetches the events of the system's processes again and again while an experiment runs, so that
 * those of a process that ends on the way, and those that give way to newer ones, are kept.
 */
final class EventWatch implements AutoCloseable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final long EVERY_MILLIS = 1_000;

  private final HttpCaller caller = HttpCaller.withTimeout(TIMEOUT);
  private final Map<URI, Source> sources = new LinkedHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "events"));

  private EventWatch(List<URI> operators) {
    for (URI uri : operators) {
      sources.put(uri, new Source(EventFetcher.of(uri, caller)));
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
  static EventWatch start(List<URI> operators) {
    EventWatch watch = new EventWatch(operators);
    var unused =
        watch.timer.scheduleWithFixedDelay(
            watch::fetch, EVERY_MILLIS, EVERY_MILLIS, TimeUnit.MILLISECONDS);
    return watch;
  }

  private synchronized void fetch() {
    for (Source source : sources.values()) {
      source.fetch();
    }
  }

  /** All that was told until now. */
  synchronized List<ProcessEvents> events() {
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
    caller.close();
  }
}
