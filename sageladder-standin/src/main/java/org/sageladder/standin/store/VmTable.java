package org.sageladder.standin.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.time.TimeSource;

/** The platform's list of VMs, which shows each change only after a lag. */
final class VmTable {
  private final TimeSource time;
  private final Map<String, ListedVm> visibleVms = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private long lagNanos;

  private VmTable(TimeSource time) {
    this.time = time;
  }

  static VmTable create(TimeSource time) {
    return new VmTable(time);
  }

  private record Change(long changedAtNanos, String id, @Nullable ListedVm vm) {}

  /** Sets the delay after which a change becomes visible. */
  synchronized void setLag(Duration lag) {
    lagNanos = lag.toNanos();
  }

  synchronized void put(ListedVm vm) {
    pending.add(new Change(time.nanos(), vm.id(), vm));
  }

  synchronized void remove(String id) {
    pending.add(new Change(time.nanos(), id, null));
  }

  /** Returns the list as callers see it now, ordered by id. */
  synchronized List<ListedVm> visibleVms() {
    long nowNanos = time.nanos();
    while (!pending.isEmpty() && pending.peek().changedAtNanos() + lagNanos - nowNanos <= 0) {
      apply(pending.remove());
    }
    return List.copyOf(visibleVms.values());
  }

  private void apply(Change change) {
    if (change.vm() == null) {
      visibleVms.remove(change.id());
    } else {
      visibleVms.put(change.id(), change.vm());
    }
  }
}
