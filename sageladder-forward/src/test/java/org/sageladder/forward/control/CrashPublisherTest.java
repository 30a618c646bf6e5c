package org.sageladder.forward.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.quarantine.CrashReport;
import org.sageladder.core.quarantine.QuarantineNotice;
import org.sageladder.forward.Loop;

/** Guards against crash reports that are lost because the store did not take them. */
class CrashPublisherTest {
  private static final CrashReport CRASH = new CrashReport("t-1", 1, 1_000, Set.of(666L));

  private final Loop loop = Loop.start();
  private final FailingStore store = new FailingStore();
  private final CrashPublisher publisher = CrashPublisher.of(loop, store, "e-1", EventSink.none());

  /** A store that fails each call until the test lets it succeed. */
  private static final class FailingStore extends FakeStore {
    final LinkedBlockingQueue<StoreResult<Long>> leaseResults = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<StoreResult<Long>> writeResults = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<QuarantineNotice> written = new LinkedBlockingQueue<>();

    @Override
    public void watch(long revision, long waitMillis, Consumer<StoreResult<StorePage>> callback) {}

    @Override
    public void grantLease(long durationMillis, Consumer<StoreResult<Long>> callback) {
      StoreResult<Long> next = leaseResults.poll();
      callback.accept(next == null ? new StoreResult.Done<>(7L) : next);
    }

    @Override
    public void publishNotice(
        String vmName,
        QuarantineNotice notice,
        long leaseId,
        Consumer<StoreResult<Long>> callback) {
      StoreResult<Long> next = writeResults.poll();
      if (next != null) {
        callback.accept(next);
        return;
      }
      written.add(notice);
      callback.accept(new StoreResult.Done<>(8L));
    }
  }

  @AfterEach
  void close() {
    loop.close();
  }

  @Test
  void reportIsWrittenAfterTheStoreRefusedALease() throws Exception {
    store.leaseResults.add(new StoreResult.Failed<>("503"));
    loop.execute(() -> publisher.accept(CRASH));
    assertEquals(CRASH, store.written.poll(60, TimeUnit.SECONDS));
  }

  @Test
  void reportIsWrittenAfterAFailedWriteAndAnEndedLease() throws Exception {
    store.writeResults.add(new StoreResult.Failed<>("no response"));
    store.writeResults.add(new StoreResult.Gone<>());
    loop.execute(() -> publisher.accept(CRASH));
    assertEquals(CRASH, store.written.poll(60, TimeUnit.SECONDS));
  }

  @Test
  void laterReportOfACrashReplacesOneThatStillWaits() throws Exception {
    store.leaseResults.add(new StoreResult.Failed<>("503"));
    CrashReport later = new CrashReport("t-1", 1, 1_000, Set.of(666L, 5L));
    loop.execute(
        () -> {
          publisher.accept(CRASH);
          publisher.accept(later);
        });
    assertEquals(later, store.written.poll(60, TimeUnit.SECONDS));
    assertNull(store.written.poll());
  }
}
