package org.sageladder.forward.control;

import java.util.HashSet;
import java.util.Set;

/**
 * A read of all items in pages, which begins anew after a failure.
 *
 * <p>Pages are not a consistent snapshot: the revision of the read is the lowest of its pages'.
 */
final class FullRead {
  private final Set<String> keys = new HashSet<>();
  private long firstStartedAtMillis;
  private long startedAtMillis;
  private long revision = Long.MAX_VALUE;
  private int starts;
  private int pages;

  /** Begins with the first page, for the first time or after a failure. */
  void begin(long nowMillis) {
    if (starts == 0) {
      firstStartedAtMillis = nowMillis;
    }
    starts++;
    startedAtMillis = nowMillis;
    keys.clear();
    pages = 0;
    revision = Long.MAX_VALUE;
  }

  /** Adds a page. */
  void add(StorePage page) {
    pages++;
    revision = Math.min(revision, page.asOfRevision());
    page.items().forEach(item -> keys.add(item.key()));
  }

  /** Returns a description of the read, which is complete now. */
  String complete(long nowMillis) {
    String summary =
        "read %d items in %d pages after %d ms, %d reads started"
            .formatted(keys.size(), pages, nowMillis - firstStartedAtMillis, starts);
    starts = 0;
    return summary;
  }

  /** Time at which the pages read since the last failure were first asked for. */
  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Revision up to which the pages read so far have all changes. */
  long revision() {
    return revision;
  }

  /** True if the item is older than the read and in none of its pages, so that it was removed. */
  boolean isMissing(String key, long itemRevision) {
    return itemRevision <= revision && !keys.contains(key);
  }
}
