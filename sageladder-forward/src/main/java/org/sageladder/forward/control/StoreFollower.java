package org.sageladder.forward.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.Loop;

/**
 * Follows all items of the platform's store: reads them once, then waits for changes.
 *
 * <p>The first read may be stale, since the watch goes on from its revision and brings what is
 * missing. Pages are no snapshot and watches may repeat themselves: a change counts only where its
 * revision is higher than the item's known one. Where the store has forgotten its history, all is
 * read again and what is missing counts as removed.
 */
public final class StoreFollower {
  /** Pauses after failures: short at first, since many end at once; calls that fail are priced. */
  private static final long RETRY_DELAY_STEP_MILLIS = 150;

  private static final long MAX_RETRY_DELAY_MILLIS = 800;

  /** Told what changes. */
  public interface Listener {
    /** An item is new or has changed. */
    void onChanged(String key, ItemContent fact);

    /**
     * An item is gone.
     *
     * @param before what it last said
     * @param atOnce how many targets went in the same answer
     */
    void onRemoved(String key, ItemContent before, int atOnce);

    /**
     * An item was overwritten by one that cannot be read.
     *
     * @param before what it last said, or null where it never could be read
     */
    void onMalformed(String key, @Nullable ItemContent before, ItemContent.Malformed item);

    /** All items were read for the first time. */
    void onInitialReadComplete();
  }

  private record KnownItem(long revision, @Nullable ItemContent content) {}

  private final Loop loop;
  private final PlatformStore store;
  private final ZoneChangeFeed changeFeed;
  private final Listener listener;
  private final EventSink log;
  private final Map<String, KnownItem> knownItems = new HashMap<>();
  private final Set<String> keysInRead = new HashSet<>();
  private long revision = -1;
  private long readRevision;
  private boolean isInitialReadComplete;
  private int consecutiveFailures;
  private int watchId;
  private boolean isWatching;
  private boolean isStoreSilent;
  private boolean hasEverFailed;
  private long lastFailureAtMillis;

  private StoreFollower(
      Loop loop, PlatformStore store, ZoneChangeFeed feed, Listener listener, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.changeFeed = feed;
    this.listener = listener;
    this.log = log;
  }

  /** Begins to follow the store directly. */
  public static StoreFollower start(
      Loop loop, PlatformStore store, Listener listener, EventSink log) {
    return start(loop, store, ZoneChangeFeed.direct(loop, store), listener, log);
  }

  /** Begins to follow; changes come from {@code feed}, whole reads from {@code store}. */
  public static StoreFollower start(
      Loop loop, PlatformStore store, ZoneChangeFeed feed, Listener listener, EventSink log) {
    StoreFollower follower = new StoreFollower(loop, store, feed, listener, log);
    loop.execute(() -> follower.read(null, true));
    return follower;
  }

  /** True while calls fail, and for {@code millis} after they did. */
  public boolean hadFailureWithin(long millis) {
    return consecutiveFailures > 0
        || (hasEverFailed && loop.nowMillis() - lastFailureAtMillis < millis);
  }

  /** True while calls to the store fail or get no answer, so that changes may go unseen. */
  public boolean isOutOfContact() {
    return consecutiveFailures > 0 || isStoreSilent;
  }

  private void read(@Nullable String afterKey, boolean mayBeStale) {
    if (afterKey == null) {
      keysInRead.clear();
      readRevision = -1;
    }
    store.read(
        afterKey,
        mayBeStale,
        answer -> {
          if (answer instanceof StoreResult.Done<StorePage> done) {
            onSuccess();
            readPage(done.value(), mayBeStale);
            return;
          }
          onFailure("read", answer, () -> read(null, mayBeStale && !isInitialReadComplete));
        });
  }

  private void readPage(StorePage page, boolean mayBeStale) {
    if (readRevision < 0) {
      readRevision = page.asOfRevision();
    }
    page.items().forEach(item -> keysInRead.add(item.key()));
    apply(page.items());
    if (page.hasMore() && !page.items().isEmpty()) {
      read(page.items().get(page.items().size() - 1).key(), mayBeStale);
      return;
    }
    removeMissing();
    revision = readRevision;
    if (!isInitialReadComplete) {
      isInitialReadComplete = true;
      listener.onInitialReadComplete();
    }
    watch();
  }

  /** What a whole read did not show is gone, unless it is newer than the read. */
  private void removeMissing() {
    List<StoreItem> gone = new ArrayList<>();
    knownItems.forEach(
        (key, item) -> {
          boolean older = item.revision() <= readRevision;
          if (item.content() != null && older && !keysInRead.contains(key)) {
            gone.add(new StoreItem(key, readRevision, null));
          }
        });
    apply(gone);
  }

  /**
   * Takes how another call to the store ended.
   *
   * <p>A store that fell silent may never answer the watch that waited then, also after it is back:
   * the VM would follow nothing until the wait is over. So the first answer after a silence begins
   * a new watch, and whatever still comes of the old one is passed over.
   */
  public void onStoreCall(boolean answered) {
    changeFeed.recordStoreCall(answered);
    if (!answered) {
      isStoreSilent = true;
      return;
    }
    if (isStoreSilent) {
      recordFailure();
    }
    if (isStoreSilent && isWatching) {
      log.record(EventKind.STORE_UP, "", "", "store", revision, "answers again; watching anew");
      watch();
    }
    isStoreSilent = false;
  }

  private void watch() {
    watchId++;
    int startedWatchId = watchId;
    isWatching = true;
    changeFeed.requestChanges(
        revision,
        answer -> {
          if (startedWatchId == watchId) {
            isWatching = false;
            onWatchResult(answer);
          }
        });
  }

  private void onWatchResult(StoreResult<StorePage> answer) {
    if (answer instanceof StoreResult.Done<StorePage> done) {
      onSuccess();
      if (changeFeed.hadRecentFailures()) {
        recordFailure();
      }
      StorePage page = done.value();
      apply(page.items());
      revision = Math.max(revision, page.asOfRevision());
      scheduleWatch(changeFeed.nextDelayMillis(!page.items().isEmpty()));
      return;
    }
    if (answer instanceof StoreResult.Gone<StorePage>) {
      log.record(EventKind.STORE_DOWN, "", "", "history", revision, "forgotten; reading all");
      recordFailure();
      read(null, false);
      return;
    }
    onFailure("watch", answer, this::watch);
  }

  private void scheduleWatch(long pauseMillis) {
    if (pauseMillis == 0) {
      watch();
      return;
    }
    int endedWatchId = watchId;
    var unused =
        loop.schedule(
            pauseMillis,
            () -> {
              if (endedWatchId == watchId) {
                watch();
              }
            });
  }

  private void recordFailure() {
    hasEverFailed = true;
    lastFailureAtMillis = loop.nowMillis();
  }

  private void onSuccess() {
    if (consecutiveFailures > 0) {
      log.record(
          EventKind.STORE_UP,
          "",
          "",
          "store",
          revision,
          "after " + consecutiveFailures + " failures");
      recordFailure();
    }
    consecutiveFailures = 0;
  }

  private void onFailure(String call, StoreResult<?> answer, Runnable again) {
    consecutiveFailures++;
    if (consecutiveFailures == 1) {
      log.record(EventKind.STORE_DOWN, "", "", "store", revision, call + ": " + answer);
    }
    long pause = Math.min(MAX_RETRY_DELAY_MILLIS, RETRY_DELAY_STEP_MILLIS * consecutiveFailures);
    var unused = loop.schedule(pause, again);
  }

  private boolean isTargetRemoval(StoreItem item) {
    KnownItem before = knownItems.get(item.key());
    return item.content() == null
        && before != null
        && before.content() instanceof ItemContent.Target;
  }

  private void apply(List<StoreItem> items) {
    int removals = (int) items.stream().filter(this::isTargetRemoval).count();
    for (StoreItem item : items) {
      KnownItem before = knownItems.get(item.key());
      if (before != null && before.revision() >= item.revision()) {
        continue;
      }
      ItemContent fact = item.content();
      if (fact instanceof ItemContent.Malformed unreadable) {
        ItemContent last = before == null ? null : before.content();
        knownItems.put(item.key(), new KnownItem(item.revision(), last));
        listener.onMalformed(item.key(), last, unreadable);
        continue;
      }
      knownItems.put(item.key(), new KnownItem(item.revision(), fact));
      if (fact != null) {
        listener.onChanged(item.key(), fact);
      } else if (before != null && before.content() != null) {
        listener.onRemoved(item.key(), before.content(), removals);
      }
    }
  }
}
