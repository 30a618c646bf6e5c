package org.sageladder.forward.control;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.FailureLog;
import org.sageladder.forward.Metrics;

/**
 * Counts items of the store that are malformed or could not be applied, and logs the first ones of
 * each kind.
 */
final class MalformedItemLog {
  /** Limits the log lines per kind, so that a writer of malformed items cannot fill the log. */
  private static final int MAX_LINES_PER_KIND = 20;

  private final EventSink log;
  private final Metrics metrics;
  private final Map<ItemContent.Kind, Integer> countByKind = new EnumMap<>(ItemContent.Kind.class);
  private int notAppliedCount;

  MalformedItemLog(EventSink log, Metrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  void record(String key, long revision, ItemContent.Malformed item) {
    metrics.count("items_not_read_" + item.kind().name().toLowerCase(Locale.ROOT));
    int count = countByKind.merge(item.kind(), 1, Integer::sum);
    if (count > MAX_LINES_PER_KIND) {
      return;
    }
    String suffix =
        count == MAX_LINES_PER_KIND ? "; further ones of this kind are only counted" : "";
    log.record(EventKind.FAILED, "", "", key, revision, "not read: " + item.cause() + suffix);
  }

  /** Records that applying an item has thrown {@code failure}. */
  void recordNotApplied(String key, long revision, Throwable failure) {
    metrics.count("items_not_applied");
    notAppliedCount++;
    if (notAppliedCount <= MAX_LINES_PER_KIND) {
      String detail = "not applied: " + FailureLog.describe(failure);
      log.record(EventKind.FAILED, "", "", key, revision, detail);
    }
  }
}
