package org.sageladder.forward.control;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quarantine.QuarantineNotice;

/**
 * The calls to the platform's store that an entry VM makes. Each call is priced.
 *
 * <p>No call blocks; each callback is called once, on the event loop.
 */
public interface PlatformStore {
  /**
   * Reads one page of all items.
   *
   * @param afterKey last key of the previous page, or null for the first page
   * @param mayBeStale true if a result some seconds old is acceptable, at a tenth of the price
   */
  void read(
      @Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> callback);

  /** Waits up to {@code waitMillis} for changes after {@code revision}. */
  void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> callback);

  /** Reads the revision of the store at some time between the call and its result. */
  void readRevision(Consumer<StoreResult<Long>> callback);

  /**
   * Reads a revision that the store has reached, maybe seconds before, at a tenth of the price. It
   * can show that changes are missing, but not that none are.
   */
  void readPastRevision(Consumer<StoreResult<Long>> callback);

  /** Grants a lease of {@code durationMillis}; results in its id. */
  void grantLease(long durationMillis, Consumer<StoreResult<Long>> callback);

  /** Renews a lease; results in {@code Gone} if it has ended. */
  void renewLease(long leaseId, Consumer<StoreResult<Long>> callback);

  /** Revokes a lease and removes the items under it. */
  void revokeLease(long leaseId, Consumer<StoreResult<Long>> callback);

  /** Publishes a notice of {@code vmName} to all entry VMs, under a lease. */
  void publishNotice(
      String vmName, QuarantineNotice notice, long leaseId, Consumer<StoreResult<Long>> callback);

  /** Writes this entry VM's own item under a lease, replacing any existing one. */
  void writeEntry(EntryVm self, long leaseId, Consumer<StoreResult<Long>> callback);
}
