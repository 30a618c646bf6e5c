package org.sageladder.platform.contract;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;

/**
 * In-memory store whose next writes can be refused, or can lose their response before or after
 * taking effect.
 */
final class FakeStore implements Store {
  /** Fault of one write. */
  enum Fault {
    NONE,
    REFUSED,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT
  }

  private final Map<String, StoredValue> values = new TreeMap<>();
  private final Deque<Fault> faults = new ArrayDeque<>();
  private final List<Runnable> nextWriteActions = new ArrayList<>();
  private long revision = 40;

  /** Applies {@code next} to the next writes, in that order. */
  void failNextWrites(Fault... next) {
    faults.addAll(List.of(next));
  }

  /** Runs {@code action} once, just before the next write takes effect. */
  void beforeNextWrite(Runnable action) {
    nextWriteActions.add(action);
  }

  @Override
  public Optional<StoredValue> read(String key) {
    return Optional.ofNullable(values.get(key));
  }

  @Override
  public List<StoredValue> list(String prefix) {
    return values.values().stream().filter(value -> value.key().startsWith(prefix)).toList();
  }

  @Override
  public WriteResult compareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) throws StoreException {
    List<Runnable> actions = List.copyOf(nextWriteActions);
    nextWriteActions.clear();
    actions.forEach(Runnable::run);
    Fault fault = faults.isEmpty() ? Fault.NONE : faults.removeFirst();
    if (fault == Fault.REFUSED) {
      throw new StoreException.Unavailable("refused", new IllegalStateException());
    }
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      throw new StoreException.OutcomeUnknown("no response", new IllegalStateException());
    }
    StoredValue current = values.get(key);
    long currentRevision = current == null ? 0 : current.revision();
    if (currentRevision != expectedRevision) {
      return new WriteResult.Conflict(current);
    }
    revision++;
    values.put(key, new StoredValue(key, revision, value));
    if (fault == Fault.LOST_AFTER_EFFECT) {
      throw new StoreException.OutcomeUnknown("no response", new IllegalStateException());
    }
    return new WriteResult.Written(revision);
  }

  @Override
  public WriteResult compareAndDelete(String key, long expectedRevision) {
    throw new UnsupportedOperationException("not needed by these tests");
  }

  @Override
  public long grantLease(Duration timeToLive) {
    throw new UnsupportedOperationException("not needed by these tests");
  }

  @Override
  public boolean keepAlive(long lease) {
    throw new UnsupportedOperationException("not needed by these tests");
  }

  @Override
  public void revokeLease(long lease) {
    throw new UnsupportedOperationException("not needed by these tests");
  }

  @Override
  public WatchBatch watch(String prefix, long afterRevision, Duration wait) {
    throw new UnsupportedOperationException("not needed by these tests");
  }

  @Override
  public void close() {}
}
