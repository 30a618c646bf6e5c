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
 * The store's values and leases in memory, without I/O.
 *
 * <p>A single revision counts all writes, including deletes. Expired leases take effect at the next
 * call or at {@link #expireLeases}. Thread-safe: one lock guards all state.
 */
public final class StoreState {
  /** Maximum size of a value. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  /** Maximum length of a key. */
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

  /** Creates an empty store at revision 0. */
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

  /** Returns the value of {@code key}. */
  public synchronized Optional<StoredValue> read(String key) {
    expireLeases();
    return Optional.ofNullable(entries.get(key)).map(Entry::value);
  }

  /** Returns all values whose keys start with {@code prefix}, ordered by key. */
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
   * Writes the value if the key has the expected revision; 0 means that it must not exist.
   *
   * @throws IllegalArgumentException if the key or value is out of range, or the lease has ended
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

  /** Deletes the key if it has the expected revision. */
  public synchronized WriteResult compareAndDelete(String key, long expectedRevision) {
    expireLeases();
    Entry old = entries.get(key);
    if (old == null || revisionOf(old) != expectedRevision) {
      return new WriteResult.Conflict(old == null ? null : old.value());
    }
    detachFromLease(key, old);
    return new WriteResult.Written(delete(key));
  }

  /** Grants a lease and returns its id, at least 1. */
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

  /** Renews a lease; returns false if it has ended. */
  public synchronized boolean keepAlive(long id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    lease.expiresAtNanos = time.nanos() + lease.timeToLiveNanos;
    return true;
  }

  /** Ends a lease and deletes its keys; returns false if it had already ended. */
  public synchronized boolean revokeLease(long id) {
    expireLeases();
    Lease lease = leases.remove(id);
    if (lease == null) {
      return false;
    }
    deleteKeys(lease);
    return true;
  }

  /** Ends the leases that have expired and deletes their keys. */
  public synchronized void expireLeases() {
    long nowNanos = time.nanos();
    Iterator<Lease> all = leases.values().iterator();
    while (all.hasNext()) {
      Lease lease = all.next();
      if (lease.expiresAtNanos - nowNanos <= 0) {
        all.remove();
        deleteKeys(lease);
      }
    }
  }

  /** Returns the latest change of each key under {@code prefix} after {@code afterRevision}. */
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

  /** Returns the revision of the latest write, 0 if there was none. */
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
    Long previousRevision = revisionByKey.put(key, ++revision);
    if (previousRevision != null) {
      keyByRevision.remove(previousRevision);
    }
    keyByRevision.put(revision, key);
    return revision;
  }
}
