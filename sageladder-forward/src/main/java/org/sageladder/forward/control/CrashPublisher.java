package org.sageladder.forward.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.forward.Loop;

/**
 * Publishes crashes to the other entry VMs through the store, under a lease that removes them when
 * it ends.
 *
 * <p>Crashes are rare and store calls are priced: the lease is granted with the first crash and not
 * renewed. A crash that cannot be written is logged and dropped; the next crash by the same request
 * is published again.
 */
public final class CrashPublisher implements Consumer<CrashReport> {
  /** Duration for which a quarantine remembers a crash; also the longest lease of a store. */
  private static final long LEASE_MILLIS = 600_000;

  /** A lease is reused for this long only, so that each crash stays published for a while. */
  private static final long LEASE_REUSE_MILLIS = 300_000;

  private final Loop loop;
  private final PlatformStore store;
  private final String vmName;
  private final EventSink log;
  private final Deque<CrashReport> pendingReports = new ArrayDeque<>();
  private long leaseId;
  private long leaseGrantedAtMillis;
  private boolean isLeaseRequested;

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

  @Override
  public void accept(CrashReport report) {
    pendingReports.addLast(report);
    if (leaseId != 0 && loop.nowMillis() - leaseGrantedAtMillis < LEASE_REUSE_MILLIS) {
      publishPending();
      return;
    }
    if (!isLeaseRequested) {
      isLeaseRequested = true;
      store.grantLease(LEASE_MILLIS, this::onLease);
    }
  }

  private void onLease(StoreResult<Long> result) {
    isLeaseRequested = false;
    if (result instanceof StoreResult.Done<Long> done) {
      leaseId = done.value();
      leaseGrantedAtMillis = loop.nowMillis();
      publishPending();
      return;
    }
    dropPending("no lease: " + result);
  }

  private void publishPending() {
    while (!pendingReports.isEmpty()) {
      CrashReport report = pendingReports.removeFirst();
      store.publishCrash(
          vmName,
          report,
          leaseId,
          result -> {
            if (!(result instanceof StoreResult.Done<Long>)) {
              leaseId = 0;
              log.record(
                  EventKind.FAILED, "", "", report.target(), 0, "crash not published: " + result);
            }
          });
    }
  }

  private void dropPending(String cause) {
    pendingReports.forEach(
        report ->
            log.record(
                EventKind.FAILED, "", "", report.target(), 0, "crash not published, " + cause));
    pendingReports.clear();
  }
}
