package org.sageladder.forward.control;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.quarantine.CrashReport;

/**
 * The calls of the platform's store that an entry VM makes. Each call is priced.
 *
 * <p>No call blocks; each consumer is called once, on the loop's thread.
 */
public interface PlatformStore {
  /**
   * Reads one page of all items.
   *
   * @param afterKey last key of the page before, or null for the first
   * @param mayBeStale true where an answer some seconds old will do, at a tenth of the price
   */
  void read(@Nullable String afterKey, boolean mayBeStale, Consumer<StoreResult<StorePage>> then);

  /** Waits up to {@code waitMillis} for changes after {@code revision}. */
  void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> then);

  /** Begins a lease of {@code millis}; returns its number. */
  void grantLease(long durationMillis, Consumer<StoreResult<Long>> then);

  /** Renews a lease; {@code Gone} where it has ended. */
  void renewLease(long leaseId, Consumer<StoreResult<Long>> then);

  /** Ends a lease and removes what depends on it. */
  void revokeLease(long leaseId, Consumer<StoreResult<Long>> then);

  /** Writes for all entry VMs, under a lease, that a target has crashed as {@code vm} saw it. */
  void publishCrash(
      String vmName, CrashReport report, long leaseId, Consumer<StoreResult<Long>> then);

  /** Writes this entry VM's own item under a lease, whatever stood there. */
  void writeEntry(EntryVm self, long leaseId, Consumer<StoreResult<Long>> then);
}
