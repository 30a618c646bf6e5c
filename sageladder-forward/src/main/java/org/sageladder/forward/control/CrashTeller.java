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
public final class CrashTeller implements Consumer<CrashReport> {
  /** As long as a quarantine remembers a crash, and the longest lease of a store. */
  private static final long LEASE_MILLIS = 600_000;

  /** A lease is used for this long, so that what is written under it lasts a while. */
  private static final long LEASE_USED_MILLIS = 300_000;

  private final Loop loop;
  private final PlatformStore store;
  private final String vm;
  private final EventSink log;
  private final Deque<CrashReport> waiting = new ArrayDeque<>();
  private long lease;
  private long leaseSince;
  private boolean asking;

  private CrashTeller(Loop loop, PlatformStore store, String vm, EventSink log) {
    this.loop = loop;
    this.store = store;
    this.vm = vm;
    this.log = log;
  }

  /** A teller for the entry VM of that name. */
  public static CrashTeller of(Loop loop, PlatformStore store, String vm, EventSink log) {
    return new CrashTeller(loop, store, vm, log);
  }

  @Override
  public void accept(CrashReport report) {
    waiting.addLast(report);
    if (lease != 0 && loop.now() - leaseSince < LEASE_USED_MILLIS) {
      tell();
      return;
    }
    if (!asking) {
      asking = true;
      store.lease(LEASE_MILLIS, this::leased);
    }
  }

  private void leased(StoreAnswer<Long> answer) {
    asking = false;
    if (answer instanceof StoreAnswer.Done<Long> done) {
      lease = done.value();
      leaseSince = loop.now();
      tell();
      return;
    }
    drop("no lease: " + answer);
  }

  private void tell() {
    while (!waiting.isEmpty()) {
      CrashReport report = waiting.removeFirst();
      store.tellCrash(
          vm,
          report,
          lease,
          answer -> {
            if (!(answer instanceof StoreAnswer.Done<Long>)) {
              lease = 0;
              log.record(EventKind.FAILED, "", "", report.target(), 0, "crash not told: " + answer);
            }
          });
    }
  }

  private void drop(String cause) {
    waiting.forEach(
        report ->
            log.record(EventKind.FAILED, "", "", report.target(), 0, "crash not told, " + cause));
    waiting.clear();
  }
}
