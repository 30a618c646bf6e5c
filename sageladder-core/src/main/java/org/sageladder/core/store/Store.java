package org.sageladder.core.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value store, as far as sageladder uses it.
 *
 * <p>Every call counts against the platform's rate limits; a waiting {@link #watch} counts as one
 * call. Calls block and are made from control threads only, never on the request path.
 *
 * <pre>{@code
 * StoredValue old = store.read("contracts/kannelkoda").orElseThrow();
 * WriteResult result = store.compareAndSet(old.key(), old.revision(), changed, null);
 * }</pre>
 */
public interface Store extends AutoCloseable {
  /** Returns the value of {@code key}, or empty if the key does not exist. */
  Optional<StoredValue> read(String key) throws StoreException;

  /** Returns all values whose key starts with {@code prefix}, ordered by key. */
  List<StoredValue> list(String prefix) throws StoreException;

  /**
   * Writes {@code value} if the key still has {@code expectedRevision}; 0 means that the key must
   * not exist.
   *
   * @param lease the lease whose end deletes the key, or null for a key without a lease
   * @throws StoreException.OutcomeUnknown if the write may have taken effect
   */
  WriteResult compareAndSet(String key, long expectedRevision, byte[] value, @Nullable Long lease)
      throws StoreException;

  /** Deletes the key if it still has {@code expectedRevision}. */
  WriteResult compareAndDelete(String key, long expectedRevision) throws StoreException;

  /** Grants a lease of {@code timeToLive} and returns its id. */
  long grantLease(Duration timeToLive) throws StoreException;

  /** Renews a lease; returns false if it has already ended. */
  boolean keepAlive(long lease) throws StoreException;

  /** Ends a lease and deletes the keys bound to it. */
  void revokeLease(long lease) throws StoreException;

  /**
   * Waits up to {@code wait} for changes under {@code prefix} after {@code afterRevision}.
   *
   * <p>A watch may skip intermediate values of a key but always returns the latest one. The
   * returned batch contains the revision from which to watch next.
   */
  WatchBatch watch(String prefix, long afterRevision, Duration wait) throws StoreException;

  @Override
  void close();
}
