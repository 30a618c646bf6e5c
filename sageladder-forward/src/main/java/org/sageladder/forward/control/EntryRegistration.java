package org.sageladder.forward.control;

import java.util.function.Supplier;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.Loop;

/**
 * Keeps this entry VM's item in the store under a lease while the VM is running.
 *
 * <p>If a VM dies, its item is removed when the lease ends, so that look-ups do not name it for
 * longer. Renewals are cheap calls; a lease that lapsed while the store was down is granted again
 * as soon as the store responds.
 */
public final class EntryRegistration {
  /** One renewal may be lost without losing the lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** Delay after a failed call, and the longest time until a recovered store is noticed. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final Loop loop;
  private final PlatformStore store;
  private final Supplier<EntryVm> currentSelf;
  private EntryVm self;
  private final EventSink log;
  private final CallListener callListener;
  private final long leaseMillis;
  private long leaseId;
  private boolean isStopping;
  private boolean isItemLost;

  /** Receives the outcome of each call to the store. */
  @FunctionalInterface
  public interface CallListener {
    /**
     * A call has ended.
     *
     * @param answered true if the store answered it
     */
    void onCall(boolean answered);
  }

  private EntryRegistration(
      Loop loop,
      PlatformStore store,
      Supplier<EntryVm> currentSelf,
      long leaseMillis,
      EventSink log,
      CallListener callListener) {
    this.loop = loop;
    this.store = store;
    this.currentSelf = currentSelf;
    this.self = currentSelf.get();
    this.leaseMillis = leaseMillis;
    this.log = log;
    this.callListener = callListener;
  }

  /**
   * Registers the VM and keeps it registered; must be called on the event loop.
   *
   * @param currentSelf the VM as it is now; a change is written with the next renewal
   */
  public static EntryRegistration start(
      Loop loop,
      PlatformStore store,
      Supplier<EntryVm> currentSelf,
      long leaseMillis,
      EventSink log,
      CallListener callListener) {
    EntryRegistration registration =
        new EntryRegistration(loop, store, currentSelf, leaseMillis, log, callListener);
    registration.acquireLease();
    return registration;
  }

  private void acquireLease() {
    if (isStopping) {
      return;
    }
    store.grantLease(
        leaseMillis,
        result -> {
          notifyCallListener(result);
          if (result instanceof StoreResult.Done<Long> done) {
            leaseId = done.value();
            if (isStopping) {
              revokeLease();
              return;
            }
            writeEntry(leaseId);
            return;
          }
          retryAfterDelay(this::acquireLease);
        });
  }

  private void writeEntry(long newLeaseId) {
    isItemLost = false;
    self = currentSelf.get();
    store.writeEntry(
        self,
        newLeaseId,
        result -> {
          notifyCallListener(result);
          if (isStopping) {
            return;
          }
          if (result instanceof StoreResult.Done<Long>) {
            log.record(EventKind.LEASE_GAINED, "", "", self.name(), newLeaseId, "registered");
            scheduleRenewal(this::renewLease);
            return;
          }
          retryAfterDelay(this::acquireLease);
        });
  }

  /**
   * Writes the item again at the next renewal, after another writer has overwritten it, or after it
   * was removed: a write that the store executed late may have attached it to an earlier lease.
   */
  void onItemLost() {
    isItemLost = true;
  }

  /** The store has the item, as after a write that followed its removal. */
  void onItemPresent() {
    isItemLost = false;
  }

  private void renewLease() {
    if (isStopping) {
      return;
    }
    if (isItemLost || !self.equals(currentSelf.get())) {
      writeEntry(leaseId);
      return;
    }
    store.renewLease(
        leaseId,
        result -> {
          notifyCallListener(result);
          if (result instanceof StoreResult.Gone<Long>) {
            log.record(EventKind.LEASE_LOST, "", "", self.name(), leaseId, "ended by the store");
            leaseId = 0;
            acquireLease();
            return;
          }
          if (result instanceof StoreResult.Failed<Long>) {
            retryAfterDelay(this::renewLease);
            return;
          }
          scheduleRenewal(this::renewLease);
        });
  }

  private void notifyCallListener(StoreResult<Long> result) {
    boolean answered = !(result instanceof StoreResult.Failed<Long>);
    loop.runGuarded(() -> callListener.onCall(answered));
  }

  /** Interval at which a lease of {@code leaseMillis} is renewed. */
  static long renewalIntervalMillis(long leaseMillis) {
    return leaseMillis / RENEWALS_PER_LEASE;
  }

  private void retryAfterDelay(Runnable task) {
    var unused = loop.schedule(RETRY_DELAY_MILLIS, task);
  }

  private void scheduleRenewal(Runnable task) {
    var unused = loop.schedule(renewalIntervalMillis(leaseMillis), task);
  }

  /** Removes the VM from the store and does not register it again. */
  public void deregister() {
    isStopping = true;
    if (leaseId != 0) {
      revokeLease();
    }
  }

  /** Ends the lease and with it the VM's item, also one that is still being written. */
  private void revokeLease() {
    store.revokeLease(
        leaseId,
        result -> {
          log.record(EventKind.LEASE_LOST, "", "", self.name(), leaseId, "revoked: " + result);
          if (result instanceof StoreResult.Failed<Long>) {
            retryAfterDelay(this::revokeLease);
          }
        });
  }
}
