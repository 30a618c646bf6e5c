package org.sageladder.forward.control;

import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.forward.Loop;

/**
 * Keeps this entry VM's own item in the store while it lives, by a lease.
 *
 * <p>A VM that dies without a word is gone from the store when its lease ends, so that look-ups do
 * not name it for longer. Renewals are cheap calls; a lease that lapsed while the store was away is
 * begun again as soon as the store says so.
 */
public final class EntryRegistration {
  /** Renewals in a lease's time: one may be lost without losing the lease. */
  private static final int RENEWALS_PER_LEASE = 3;

  /** Pause after a call without an answer; it is also how soon a store that is back is noticed. */
  private static final long RETRY_DELAY_MILLIS = 500;

  private final Loop loop;
  private final PlatformStore store;
  private final EntryVm self;
  private final EventSink log;
  private final CallListener callListener;
  private final long leaseMillis;
  private long leaseId;
  private boolean isLeaving;
  private boolean isOverwritten;

  /** Told of each call whether the store answered it. */
  @FunctionalInterface
  public interface CallListener {
    /** One call has ended. */
    void onCall(boolean answered);
  }

  private EntryRegistration(
      Loop loop,
      PlatformStore store,
      EntryVm self,
      long leaseMillis,
      EventSink log,
      CallListener heard) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.leaseMillis = leaseMillis;
    this.log = log;
    this.callListener = heard;
  }

  /** Registers the VM and keeps it so; called on the loop's thread. */
  public static EntryRegistration start(
      Loop loop,
      PlatformStore store,
      EntryVm self,
      long leaseMillis,
      EventSink log,
      CallListener heard) {
    EntryRegistration registration =
        new EntryRegistration(loop, store, self, leaseMillis, log, heard);
    registration.acquireLease();
    return registration;
  }

  private void acquireLease() {
    if (isLeaving) {
      return;
    }
    store.grantLease(
        leaseMillis,
        answer -> {
          notifyCallListener(answer);
          if (answer instanceof StoreResult.Done<Long> done) {
            writeEntry(done.value());
            return;
          }
          retryAfterDelay(this::acquireLease);
        });
  }

  private void writeEntry(long fresh) {
    store.writeEntry(
        self,
        fresh,
        answer -> {
          notifyCallListener(answer);
          if (answer instanceof StoreResult.Done<Long>) {
            leaseId = fresh;
            log.record(EventKind.LEASE_GAINED, "", "", self.name(), fresh, "registered");
            if (isLeaving) {
              deregister();
              return;
            }
            scheduleRenewal(this::renewLease);
            return;
          }
          retryAfterDelay(this::acquireLease);
        });
  }

  /** The VM's item was overwritten by another writer; it is written anew in place of a renewal. */
  void onOverwritten() {
    isOverwritten = true;
  }

  private void renewLease() {
    if (isLeaving) {
      return;
    }
    if (isOverwritten) {
      isOverwritten = false;
      writeEntry(leaseId);
      return;
    }
    store.renewLease(
        leaseId,
        answer -> {
          notifyCallListener(answer);
          if (answer instanceof StoreResult.Gone<Long>) {
            log.record(EventKind.LEASE_LOST, "", "", self.name(), leaseId, "the store ended it");
            leaseId = 0;
            acquireLease();
            return;
          }
          if (answer instanceof StoreResult.Failed<Long>) {
            retryAfterDelay(this::renewLease);
            return;
          }
          scheduleRenewal(this::renewLease);
        });
  }

  private void notifyCallListener(StoreResult<Long> answer) {
    callListener.onCall(!(answer instanceof StoreResult.Failed<Long>));
  }

  /** How often a lease of {@code leaseMillis} is renewed. */
  static long renewalIntervalMillis(long leaseMillis) {
    return leaseMillis / RENEWALS_PER_LEASE;
  }

  private void retryAfterDelay(Runnable task) {
    var unused = loop.schedule(RETRY_DELAY_MILLIS, task);
  }

  private void scheduleRenewal(Runnable task) {
    var unused = loop.schedule(renewalIntervalMillis(leaseMillis), task);
  }

  /** Takes the VM out of the store, and keeps it out. */
  public void deregister() {
    isLeaving = true;
    if (leaseId == 0) {
      return;
    }
    store.revokeLease(
        leaseId,
        answer ->
            log.record(
                EventKind.LEASE_LOST, "", "", self.name(), leaseId, "ended here: " + answer));
  }
}
