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
  private static final long FIRST_PAUSE_MILLIS = 150;

  private static final long LONGEST_PAUSE_MILLIS = 800;

  /** Told what changes. */
  public interface Listener {
    /** An item is new or has changed. */
    void changed(String key, Fact fact);

    /**
     * An item is gone.
     *
     * @param before what it last said
     * @param atOnce how many targets went in the same answer
     */
    void removed(String key, Fact before, int atOnce);

    /**
     * An item was overwritten by one that cannot be read.
     *
     * @param before what it last said, or null where it never could be read
     */
    void spoilt(String key, @Nullable Fact before, Fact.Unreadable item);

    /** All items were read for the first time. */
    void complete();
  }

  private record Known(long revision, @Nullable Fact fact) {}

  private final Loop loop;
  private final PlatformStore store;
  private final ZoneFeed feed;
  private final Listener listener;
  private final EventSink log;
  private final Map<String, Known> known = new HashMap<>();
  private final Set<String> seenInRead = new HashSet<>();
  private long revision = -1;
  private long readRevision;
  private boolean complete;
  private int failures;
  private int watchNumber;
  private boolean watching;
  private boolean silent;
  private boolean everTroubled;
  private long troubledUntil;

  private StoreFollower(
      Loop loop, PlatformStore store, ZoneFeed feed, Listener listener, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.feed = feed;
    this.listener = listener;
    this.log = log;
  }

  /** Begins to follow the store directly. */
  public static StoreFollower start(
      Loop loop, PlatformStore store, Listener listener, EventSink log) {
    return start(loop, store, ZoneFeed.direct(loop, store), listener, log);
  }

  /** Begins to follow; changes come from {@code feed}, whole reads from {@code store}. */
  public static StoreFollower start(
      Loop loop, PlatformStore store, ZoneFeed feed, Listener listener, EventSink log) {
    StoreFollower follower = new StoreFollower(loop, store, feed, listener, log);
    loop.run(() -> follower.read(null, true));
    return follower;
  }

  /** True while calls fail, and for {@code millis} after they did. */
  public boolean troubledWithin(long millis) {
    return failures > 0 || (everTroubled && loop.now() - troubledUntil < millis);
  }

  /** True while calls to the store fail or get no answer, so that changes may go unseen. */
  public boolean isCutOff() {
    return failures > 0 || silent;
  }

  private void read(@Nullable String afterKey, boolean mayBeStale) {
    if (afterKey == null) {
      seenInRead.clear();
      readRevision = -1;
    }
    store.read(
        afterKey,
        mayBeStale,
        answer -> {
          if (answer instanceof StoreAnswer.Done<StorePage> done) {
            succeeded();
            readPage(done.value(), mayBeStale);
            return;
          }
          failed("read", answer, () -> read(null, mayBeStale && !complete));
        });
  }

  private void readPage(StorePage page, boolean mayBeStale) {
    if (readRevision < 0) {
      readRevision = page.asOf();
    }
    page.items().forEach(item -> seenInRead.add(item.key()));
    apply(page.items());
    if (page.more() && !page.items().isEmpty()) {
      read(page.items().get(page.items().size() - 1).key(), mayBeStale);
      return;
    }
    removeUnseen();
    revision = readRevision;
    if (!complete) {
      complete = true;
      listener.complete();
    }
    watch();
  }

  /** What a whole read did not show is gone, unless it is newer than the read. */
  private void removeUnseen() {
    List<StoreItem> gone = new ArrayList<>();
    known.forEach(
        (key, item) -> {
          boolean older = item.revision() <= readRevision;
          if (item.fact() != null && older && !seenInRead.contains(key)) {
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
  public void heard(boolean answered) {
    feed.recordContact(answered);
    if (!answered) {
      silent = true;
      return;
    }
    if (silent) {
      troubled();
    }
    if (silent && watching) {
      log.record(EventKind.STORE_UP, "", "", "store", revision, "answers again; watching anew");
      watch();
    }
    silent = false;
  }

  private void watch() {
    watchNumber++;
    int number = watchNumber;
    watching = true;
    feed.next(
        revision,
        answer -> {
          if (number == watchNumber) {
            watching = false;
            watched(answer);
          }
        });
  }

  private void watched(StoreAnswer<StorePage> answer) {
    if (answer instanceof StoreAnswer.Done<StorePage> done) {
      succeeded();
      if (feed.hadTrouble()) {
        troubled();
      }
      StorePage page = done.value();
      apply(page.items());
      revision = Math.max(revision, page.asOf());
      watchAgain(feed.pauseMillis(!page.items().isEmpty()));
      return;
    }
    if (answer instanceof StoreAnswer.Gone<StorePage>) {
      log.record(EventKind.STORE_DOWN, "", "", "history", revision, "forgotten; reading all");
      troubled();
      read(null, false);
      return;
    }
    failed("watch", answer, this::watch);
  }

  private void watchAgain(long pauseMillis) {
    if (pauseMillis == 0) {
      watch();
      return;
    }
    int number = watchNumber;
    var unused =
        loop.after(
            pauseMillis,
            () -> {
              if (number == watchNumber) {
                watch();
              }
            });
  }

  private void troubled() {
    everTroubled = true;
    troubledUntil = loop.now();
  }

  private void succeeded() {
    if (failures > 0) {
      log.record(EventKind.STORE_UP, "", "", "store", revision, "after " + failures + " failures");
      troubled();
    }
    failures = 0;
  }

  private void failed(String call, StoreAnswer<?> answer, Runnable again) {
    failures++;
    if (failures == 1) {
      log.record(EventKind.STORE_DOWN, "", "", "store", revision, call + ": " + answer);
    }
    long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS * failures);
    var unused = loop.after(pause, again);
  }

  private boolean isTargetGone(StoreItem item) {
    Known before = known.get(item.key());
    return item.fact() == null && before != null && before.fact() instanceof Fact.Target;
  }

  private void apply(List<StoreItem> items) {
    int removals = (int) items.stream().filter(this::isTargetGone).count();
    for (StoreItem item : items) {
      Known before = known.get(item.key());
      if (before != null && before.revision() >= item.revision()) {
        continue;
      }
      Fact fact = item.fact();
      if (fact instanceof Fact.Unreadable unreadable) {
        Fact last = before == null ? null : before.fact();
        known.put(item.key(), new Known(item.revision(), last));
        listener.spoilt(item.key(), last, unreadable);
        continue;
      }
      known.put(item.key(), new Known(item.revision(), fact));
      if (fact != null) {
        listener.changed(item.key(), fact);
      } else if (before != null && before.fact() != null) {
        listener.removed(item.key(), before.fact(), removals);
      }
    }
  }
}
