package org.sageladder.core.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The platform's key-value service, as far as sageladder uses it.
 *
 * <p>Every call counts against the platform's rates, a waiting {@link #watch} as one. Calls block
 * and are made from control threads only, never on the request path.
 *
 * <pre>{@code
 * StoredValue old = store.read("contracts/kannelkoda").orElseThrow();
 * WriteResult result = store.compareAndSet(old.key(), old.revision(), changed, null);
 * }</pre>
 */
public interface Store extends AutoCloseable {
  /** The value under {@code key}, or empty where there is none. */
  Optional<StoredValue> read(String key) throws StoreException;

  /** All values whose key starts with {@code prefix}, ordered by key. */
  List<StoredValue> list(String prefix) throws StoreException;

  /**
   * Writes {@code value} if the key still has {@code expectedRevision}; 0 means the key must not
   * exist.
   *
   * @param lease the lease whose end deletes the key, or null to keep it
   * @throws StoreException.OutcomeUnknown where the write may have taken effect
   */
  WriteResult compareAndSet(String key, long expectedRevision, byte[] value, @Nullable Long lease)
      throws StoreException;

  /** Deletes the key if it still has {@code expectedRevision}. */
  WriteResult compareAndDelete(String key, long expectedRevision) throws StoreException;

  /** Opens a lease of {@code timeToLive} and returns its id. */
  long grantLease(Duration timeToLive) throws StoreException;

  /** Renews a lease; false where it has already ended. */
  boolean keepAlive(long lease) throws StoreException;

  /** Ends a lease and deletes the keys bound to it. */
  void revokeLease(long lease) throws StoreException;

  /**
   * Waits up to {@code wait} for changes under {@code prefix} after {@code afterRevision}.
   *
   * <p>A watch may skip intermediate values of one key but always returns the latest one. The
   * returned batch names the revision from which to watch next.
   */
  WatchBatch watch(String prefix, long afterRevision, Duration wait) throws StoreException;

  @Override
  void close();
}
