package org.sageladder.standin.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;

/**
 * The store's values and leases in memory, with no I/O.
 *
 * <p>One revision counts all writes, the deletes among them. Ended leases take effect at the next
 * call or {@link #expireLeases}. Safe for use by several threads; one lock guards everything.
 */
public final class StoreState {
  /** Largest value in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  /** Longest key in characters. */
  public static final int MAX_KEY_CHARS = 512;

  private final TimeSource time;
  private final NavigableMap<String, Entry> entries = new TreeMap<>();
  private final NavigableMap<Long, String> keyByRevision = new TreeMap<>();
  private final Map<String, Long> revisionByKey = new HashMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision;
  private long nextLease = 1;

  private StoreState(TimeSource time) {
    this.time = time;
  }

  /** An empty store at revision 0. */
  public static StoreState create(TimeSource time) {
    return new StoreState(time);
  }

  private record Entry(StoredValue value, @Nullable Long lease) {}

  private static final class Lease {
    final long timeToLiveNanos;
    final Set<String> keys = new HashSet<>();
    long expiresAtNanos;

    Lease(long timeToLiveNanos, long expiresAtNanos) {
      this.timeToLiveNanos = timeToLiveNanos;
      this.expiresAtNanos = expiresAtNanos;
    }
  }

  /** The value under {@code key}. */
  public synchronized Optional<StoredValue> read(String key) {
    expireLeases();
    return Optional.ofNullable(entries.get(key)).map(Entry::value);
  }

  /** All values whose key starts with {@code prefix}, ordered by key. */
  public synchronized List<StoredValue> list(String prefix) {
    expireLeases();
    List<StoredValue> values = new ArrayList<>();
    for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      values.add(entry.getValue().value());
    }
    return values;
  }

  /**
   * Writes if the key still has {@code expected}; 0 means that it must not exist.
   *
   * @throws IllegalArgumentException for a key or value out of range and for an ended lease
   */
  public synchronized WriteResult compareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) {
    expireLeases();
    checkSizes(key, value);
    if (lease != null && !leases.containsKey(lease)) {
      throw new IllegalArgumentException("lease " + lease + " has ended; grant a new one");
    }
    Entry old = entries.get(key);
    if (revisionOf(old) != expectedRevision) {
      return new WriteResult.Conflict(old == null ? null : old.value());
    }
    detachFromLease(key, old);
    StoredValue written = new StoredValue(key, assignRevision(key), value.clone());
    entries.put(key, new Entry(written, lease));
    if (lease != null) {
      leases.get(lease).keys.add(key);
    }
    return new WriteResult.Written(written.revision());
  }

  /** Deletes if the key still has {@code expected}. */
  public synchronized WriteResult compareAndDelete(String key, long expectedRevision) {
    expireLeases();
    Entry old = entries.get(key);
    if (old == null || revisionOf(old) != expectedRevision) {
      return new WriteResult.Conflict(old == null ? null : old.value());
    }
    detachFromLease(key, old);
    return new WriteResult.Written(delete(key));
  }

  /** Opens a lease and returns its id, at least 1. */
  public synchronized long grantLease(Duration timeToLive) {
    if (timeToLive.isZero() || timeToLive.isNegative()) {
      throw new IllegalArgumentException("lease of " + timeToLive + ": expected above 0");
    }
    expireLeases();
    long id = nextLease++;
    long nanos = timeToLive.toNanos();
    leases.put(id, new Lease(nanos, time.nanos() + nanos));
    return id;
  }

  /** Renews a lease; false where it has ended. */
  public synchronized boolean keepAlive(long id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    lease.expiresAtNanos = time.nanos() + lease.timeToLiveNanos;
    return true;
  }

  /** Ends a lease and deletes its keys; false where it had ended before. */
  public synchronized boolean revokeLease(long id) {
    expireLeases();
    Lease lease = leases.remove(id);
    if (lease == null) {
      return false;
    }
    deleteKeys(lease);
    return true;
  }

  /** Ends the leases whose time is over. */
  public synchronized void expireLeases() {
    long now = time.nanos();
    Iterator<Lease> all = leases.values().iterator();
    while (all.hasNext()) {
      Lease lease = all.next();
      if (lease.expiresAtNanos - now <= 0) {
        all.remove();
        deleteKeys(lease);
      }
    }
  }

  /** The latest change of each key under {@code prefix} after {@code afterRevision}. */
  public synchronized WatchBatch changes(String prefix, long afterRevision) {
    expireLeases();
    List<StoredValue> changed = new ArrayList<>();
    List<String> deleted = new ArrayList<>();
    for (String key : keyByRevision.tailMap(afterRevision, false).values()) {
      if (!key.startsWith(prefix)) {
        continue;
      }
      Entry entry = entries.get(key);
      if (entry == null) {
        deleted.add(key);
      } else {
        changed.add(entry.value());
      }
    }
    return new WatchBatch(changed, deleted, Math.max(afterRevision, revision));
  }

  /** The revision of the latest write, 0 where there was none. */
  public synchronized long revision() {
    return revision;
  }

  private static void checkSizes(String key, byte[] value) {
    if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
      throw new IllegalArgumentException(
          "key \"" + key + "\": expected 1 to " + MAX_KEY_CHARS + " characters");
    }
    if (value.length > MAX_VALUE_BYTES) {
      throw new IllegalArgumentException(
          "value of " + value.length + " bytes: expected at most " + MAX_VALUE_BYTES);
    }
  }

  private static long revisionOf(@Nullable Entry entry) {
    return entry == null ? 0 : entry.value().revision();
  }

  private void detachFromLease(String key, @Nullable Entry old) {
    if (old != null && old.lease() != null) {
      Lease lease = leases.get(old.lease());
      if (lease != null) {
        lease.keys.remove(key);
      }
    }
  }

  private void deleteKeys(Lease lease) {
    lease.keys.stream().sorted().forEach(this::delete);
  }

  private long delete(String key) {
    entries.remove(key);
    return assignRevision(key);
  }

  private long assignRevision(String key) {
    Long before = revisionByKey.put(key, ++revision);
    if (before != null) {
      keyByRevision.remove(before);
    }
    keyByRevision.put(revision, key);
    return revision;
  }
}
