package org.sageladder.forward.control;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.Metrics;

/** Counts malformed items of the store, and logs the first ones of each kind. */
final class MalformedItemLog {
  /** Limits the log lines per kind, so that a writer of malformed items cannot fill the log. */
  private static final int MAX_LINES_PER_KIND = 20;

  private final EventSink log;
  private final Metrics metrics;
  private final Map<ItemContent.Kind, Integer> countByKind = new EnumMap<>(ItemContent.Kind.class);

  MalformedItemLog(EventSink log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  void record(String key, ItemContent.Malformed item) {
    metrics.count("items_not_read_" + item.kind().name().toLowerCase(Locale.ROOT));
    int count = countByKind.merge(item.kind(), 1, Integer::sum);
    if (count > MAX_LINES_PER_KIND) {
      return;
    }
    String suffix =
        count == MAX_LINES_PER_KIND ? "; further ones of this kind are only counted" : "";
    log.record(EventKind.FAILED, "", "", key, 0, "not read: " + item.cause() + suffix);
  }
}
