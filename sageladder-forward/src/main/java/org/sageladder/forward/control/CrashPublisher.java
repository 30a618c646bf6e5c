package org.sageladder.forward.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.forward.Loop;

/**
 * Tells the other entry VMs of crashes through the store, under one lease that forgets them.
 *
 * <p>Crashes are rare and calls are priced: the lease is begun with the first crash and not
 * renewed. A crash that cannot be written is logged and dropped; the next one of the same request
 * is told anew.
 */
public final class CrashPublisher implements Consumer<CrashReport> {
  /** As long as a quarantine remembers a crash, and the longest lease of a store. */
  private static final long LEASE_MILLIS = 600_000;

  /** A lease is used for this long, so that what is written under it lasts a while. */
  private static final long LEASE_REUSE_MILLIS = 300_000;

  private final Loop loop;
  private final PlatformStore store;
  private final String vmName;
  private final EventSink log;
  private final Deque<CrashReport> pendingReports = new ArrayDeque<>();
  private long leaseId;
  private long leaseGrantedAtMillis;
  private boolean isLeaseRequested;

  private CrashPublisher(Loop loop, PlatformStore store, String vm, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.vmName = vm;
    this.log = log;
  }

  /** A teller for the entry VM of that name. */
  public static CrashPublisher of(Loop loop, PlatformStore store, String vm, EventSink log) {
    return new CrashPublisher(loop, store, vm, log);
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

  private void onLease(StoreResult<Long> answer) {
    isLeaseRequested = false;
    if (answer instanceof StoreResult.Done<Long> done) {
      leaseId = done.value();
      leaseGrantedAtMillis = loop.nowMillis();
      publishPending();
      return;
    }
    dropPending("no lease: " + answer);
  }

  private void publishPending() {
    while (!pendingReports.isEmpty()) {
      CrashReport report = pendingReports.removeFirst();
      store.publishCrash(
          vmName,
          report,
          leaseId,
          answer -> {
            if (!(answer instanceof StoreResult.Done<Long>)) {
              leaseId = 0;
              log.record(EventKind.FAILED, "", "", report.target(), 0, "crash not told: " + answer);
            }
          });
    }
  }

  private void dropPending(String cause) {
    pendingReports.forEach(
        report ->
            log.record(EventKind.FAILED, "", "", report.target(), 0, "crash not told, " + cause));
    pendingReports.clear();
  }
}
