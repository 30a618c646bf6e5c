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
  private static final int RENEWALS = 3;

  /** Pause after a call without an answer; it is also how soon a store that is back is noticed. */
  private static final long AGAIN_MILLIS = 500;

  private final Loop loop;
  private final PlatformStore store;
  private final EntryVm self;
  private final EventSink log;
  private final Heard heard;
  private final long leaseMillis;
  private long lease;
  private boolean leaving;
  private boolean overwritten;

  /** Told of each call whether the store answered it. */
  @FunctionalInterface
  public interface Heard {
    /** One call has ended. */
    void of(boolean answered);
  }

  private EntryRegistration(
      Loop loop, PlatformStore store, EntryVm self, long leaseMillis, EventSink log, Heard heard) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.leaseMillis = leaseMillis;
    this.log = log;
    this.heard = heard;
  }

  /** Registers the VM and keeps it so; called on the loop's thread. */
  public static EntryRegistration begin(
      Loop loop, PlatformStore store, EntryVm self, long leaseMillis, EventSink log, Heard heard) {
    EntryRegistration registration =
        new EntryRegistration(loop, store, self, leaseMillis, log, heard);
    registration.acquire();
    return registration;
  }

  private void acquire() {
    if (leaving) {
      return;
    }
    store.lease(
        leaseMillis,
        answer -> {
          heard(answer);
          if (answer instanceof StoreAnswer.Done<Long> done) {
            announce(done.value());
            return;
          }
          again(this::acquire);
        });
  }

  private void announce(long fresh) {
    store.announce(
        self,
        fresh,
        answer -> {
          heard(answer);
          if (answer instanceof StoreAnswer.Done<Long>) {
            lease = fresh;
            log.record(EventKind.LEASE_GAINED, "", "", self.name(), fresh, "registered");
            if (leaving) {
              leave();
              return;
            }
            later(this::renew);
            return;
          }
          again(this::acquire);
        });
  }

  /** The VM's item was overwritten by another writer; it is written anew in place of a renewal. */
  void overwritten() {
    overwritten = true;
  }

  private void renew() {
    if (leaving) {
      return;
    }
    if (overwritten) {
      overwritten = false;
      announce(lease);
      return;
    }
    store.renew(
        lease,
        answer -> {
          heard(answer);
          if (answer instanceof StoreAnswer.Gone<Long>) {
            log.record(EventKind.LEASE_LOST, "", "", self.name(), lease, "the store ended it");
            lease = 0;
            acquire();
            return;
          }
          if (answer instanceof StoreAnswer.Failed<Long>) {
            again(this::renew);
            return;
          }
          later(this::renew);
        });
  }

  private void heard(StoreAnswer<Long> answer) {
    heard.of(!(answer instanceof StoreAnswer.Failed<Long>));
  }

  /** How often a lease of {@code leaseMillis} is renewed. */
  static long renewalMillis(long leaseMillis) {
    return leaseMillis / RENEWALS;
  }

  private void again(Runnable task) {
    var unused = loop.after(AGAIN_MILLIS, task);
  }

  private void later(Runnable task) {
    var unused = loop.after(renewalMillis(leaseMillis), task);
  }

  /** Takes the VM out of the store, and keeps it out. */
  public void leave() {
    leaving = true;
    if (lease == 0) {
      return;
    }
    store.endLease(
        lease,
        answer ->
            log.record(EventKind.LEASE_LOST, "", "", self.name(), lease, "ended here: " + answer));
  }
}
