package org.sageladder.standin.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.time.TimeSource;

/** Pending watches. Lock order: this table, then the state; answers are sent without a lock. */
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

  /** Returns a future of the first changes, or of an empty batch after {@code wait}. */
  CompletableFuture<WatchBatch> await(String prefix, long afterRevision, Duration wait) {
    Watch watch =
        new Watch(prefix, afterRevision, time.nanos() + wait.toNanos(), new CompletableFuture<>());
    synchronized (this) {
      pending.add(watch);
    }
    deliver();
    return watch.result();
  }

  /** Completes the watches that have changes or whose wait has run out. */
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
