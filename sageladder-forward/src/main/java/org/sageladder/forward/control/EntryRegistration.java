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

  private final Loop loop;
  private final PlatformStore store;
  private final EntryVm self;
  private final EventSink log;
  private final long leaseMillis;
  private long lease;
  private boolean leaving;

  private EntryRegistration(
      Loop loop, PlatformStore store, EntryVm self, long leaseMillis, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.leaseMillis = leaseMillis;
    this.log = log;
  }

  /** Registers the VM and keeps it so; called on the loop's thread. */
  public static EntryRegistration begin(
      Loop loop, PlatformStore store, EntryVm self, long leaseMillis, EventSink log) {
    EntryRegistration registration = new EntryRegistration(loop, store, self, leaseMillis, log);
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
          if (answer instanceof StoreAnswer.Done<Long> done) {
            announce(done.value());
            return;
          }
          later(this::acquire);
        });
  }

  private void announce(long fresh) {
    store.announce(
        self,
        fresh,
        answer -> {
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
          later(this::acquire);
        });
  }

  private void renew() {
    if (leaving) {
      return;
    }
    store.renew(
        lease,
        answer -> {
          if (answer instanceof StoreAnswer.Gone<Long>) {
            log.record(EventKind.LEASE_LOST, "", "", self.name(), lease, "the store ended it");
            lease = 0;
            acquire();
            return;
          }
          later(this::renew);
        });
  }

  private void later(Runnable task) {
    var unused = loop.after(leaseMillis / RENEWALS, task);
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
