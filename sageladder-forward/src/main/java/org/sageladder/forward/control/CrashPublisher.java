package org.sageladder.forward.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.QuarantineNotice;
import org.sageladder.forward.Loop;

/**
 * Publishes crashes, and runs that clear requests of them, to the other entry VMs through the
 * store, under a lease that removes them when it ends.
 *
 * <p>Crashes are rare and store calls are priced: the lease is granted with the first crash and not
 * renewed. A crash that cannot be written is kept and written again after a while: this VM holds
 * the request back from now on and sees no further crash that would report it.
 */
public final class CrashPublisher implements Consumer<QuarantineNotice> {
  /** Duration for which a quarantine remembers a crash; also the longest lease of a store. */
  private static final long LEASE_MILLIS = 600_000;

  /** A lease is reused for this long only, so that each crash stays published for a while. */
  private static final long LEASE_REUSE_MILLIS = 300_000;

  private static final long FIRST_RETRY_MILLIS = 500;
  private static final long MAX_RETRY_MILLIS = 8_000;

  /** Maximum number of notices kept for later; the oldest are dropped first. */
  private static final int MAX_PENDING_NOTICES = 256;

  private final Loop loop;
  private final PlatformStore store;
  private final String vmName;
  private final EventSink log;
  private final Map<String, PendingNotice> pending = new LinkedHashMap<>();
  private long leaseId;
  private long leaseGrantedAtMillis;
  private boolean isLeaseRequested;
  private boolean isRetryScheduled;
  private long retryMillis = FIRST_RETRY_MILLIS;

  /** A notice that is not known to be written. */
  private static final class PendingNotice {
    final QuarantineNotice notice;
    boolean isBeingWritten;

    PendingNotice(QuarantineNotice notice) {
      this.notice = notice;
    }
  }

  private CrashPublisher(Loop loop, PlatformStore store, String vmName, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.vmName = vmName;
    this.log = log;
  }

  /** Creates a publisher for the entry VM of that name. */
  public static CrashPublisher of(Loop loop, PlatformStore store, String vmName, EventSink log) {
    return new CrashPublisher(loop, store, vmName, log);
  }

  /** Publishes a notice, or a later one in place of one published before. */
  @Override
  public void accept(QuarantineNotice notice) {
    pending.remove(notice.key());
    pending.put(notice.key(), new PendingNotice(notice));
    if (pending.size() > MAX_PENDING_NOTICES) {
      String oldest = pending.keySet().iterator().next();
      pending.remove(oldest);
      logFailure(oldest, "dropped, too many wait for the store");
    }
    writePending();
  }

  private void writePending() {
    if (isRetryScheduled || isLeaseRequested) {
      return;
    }
    if (leaseId == 0 || loop.nowMillis() - leaseGrantedAtMillis >= LEASE_REUSE_MILLIS) {
      isLeaseRequested = true;
      store.grantLease(LEASE_MILLIS, this::onLease);
      return;
    }
    List.copyOf(pending.values()).stream()
        .filter(next -> !next.isBeingWritten)
        .forEach(this::write);
  }

  private void onLease(StoreResult<Long> result) {
    isLeaseRequested = false;
    if (result instanceof StoreResult.Done<Long> done) {
      leaseId = done.value();
      leaseGrantedAtMillis = loop.nowMillis();
      writePending();
      return;
    }
    pending.keySet().forEach(key -> logFailure(key, "no lease: " + result));
    scheduleRetry();
  }

  private void write(PendingNotice next) {
    next.isBeingWritten = true;
    store.publishNotice(vmName, next.notice, leaseId, result -> onWritten(next, result));
  }

  private void onWritten(PendingNotice written, StoreResult<Long> result) {
    String key = written.notice.key();
    written.isBeingWritten = false;
    if (result instanceof StoreResult.Done<Long>) {
      retryMillis = FIRST_RETRY_MILLIS;
      pending.remove(key, written);
      return;
    }
    logFailure(key, String.valueOf(result));
    if (result instanceof StoreResult.Gone<Long>) {
      leaseId = 0;
    }
    scheduleRetry();
  }

  private void scheduleRetry() {
    if (isRetryScheduled) {
      return;
    }
    isRetryScheduled = true;
    var unused =
        loop.schedule(
            retryMillis,
            () -> {
              isRetryScheduled = false;
              if (!pending.isEmpty()) {
                writePending();
              }
            });
    retryMillis = Math.min(2 * retryMillis, MAX_RETRY_MILLIS);
  }

  private void logFailure(String key, String cause) {
    log.record(EventKind.FAILED, "", "", key, 0, "not published: " + cause);
  }
}
