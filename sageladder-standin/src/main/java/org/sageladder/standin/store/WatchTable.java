package org.sageladder.standin.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.time.TimeSource;

/**
 * Watches that wait for a change. Locks: this table's, then the state's; answers go out unlocked.
 */
final class WatchTable {
  private final StoreState state;
  private final TimeSource time;
  private final List<Watch> pending = new ArrayList<>();

  private WatchTable(StoreState state, TimeSource time) {
    this.state = state;
    this.time = time;
  }

  static WatchTable create(StoreState state, TimeSource time) {
    return new WatchTable(state, time);
  }

  private record Watch(
      String prefix,
      long afterRevision,
      long deadlineNanos,
      CompletableFuture<WatchBatch> result) {}

  private record CompletedWatch(Watch watch, WatchBatch batch) {}

  /** Completes with the first changes, or with an empty batch once {@code wait} is over. */
  CompletableFuture<WatchBatch> await(String prefix, long afterRevision, Duration wait) {
    Watch watch =
        new Watch(prefix, afterRevision, time.nanos() + wait.toNanos(), new CompletableFuture<>());
    synchronized (this) {
      pending.add(watch);
    }
    deliver();
    return watch.result();
  }

  /** Answers the watches that have something to tell or have waited long enough. */
  void deliver() {
    List<CompletedWatch> due = new ArrayList<>();
    synchronized (this) {
      Iterator<Watch> all = pending.iterator();
      while (all.hasNext()) {
        Watch watch = all.next();
        WatchBatch batch = state.changes(watch.prefix(), watch.afterRevision());
        boolean empty = batch.changed().isEmpty() && batch.deleted().isEmpty();
        if (!empty || watch.deadlineNanos() - time.nanos() <= 0) {
          all.remove();
          due.add(new CompletedWatch(watch, batch));
        }
      }
    }
    due.forEach(item -> item.watch().result().complete(item.batch()));
  }
}
