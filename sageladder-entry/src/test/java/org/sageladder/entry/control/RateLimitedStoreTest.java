package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.time.VirtualTime;

class RateLimitedStoreTest {
  private static final double CALLS_PER_SECOND = 4;
  private static final int MAX_BURST = 20;

  private final VirtualTime time = VirtualTime.startingAt(1_000_000);
  private final AtomicInteger sentCalls = new AtomicInteger();
  private final RateLimitedStore store =
      RateLimitedStore.of(countingStore(), List::of, time, CALLS_PER_SECOND, MAX_BURST);

  // If the service answers a watch at once without a change, the caller repeats it at once. From 94
  // relays such calls use up the service's whole read rate, so they must be limited here. A refused
  // call must look like an outage, so that the caller backs off.
  @Test
  void callsIncludingWatchesAreRateLimited() {
    int attempts = 0;
    for (int step = 0; step < 600; step++) {
      for (int i = 0; i < 5; i++) {
        attempts++;
        tryTo(i % 2 == 0 ? this::watch : this::read);
      }
      time.advance(Duration.ofMillis(100));
    }
    double allowed = MAX_BURST + CALLS_PER_SECOND * 60;
    assertTrue(sentCalls.get() <= allowed + 1, sentCalls + " of " + allowed);
    assertTrue(sentCalls.get() >= allowed - 2, sentCalls + " of " + allowed);
    assertEquals(attempts - sentCalls.get(), store.refusedCallCount());
    assertEquals(
        sentCalls.get(), store.callCounts().values().stream().mapToLong(Long::longValue).sum());
    assertTrue(store.callCounts().get("watch") > 0);
  }

  @Test
  void callBeyondTheLimitFailsAsUnavailableAndIsNotSent() {
    for (int i = 0; i < MAX_BURST; i++) {
      tryTo(this::read);
    }
    assertThrows(StoreException.Unavailable.class, this::read);
    assertEquals(MAX_BURST, sentCalls.get());
    time.advance(Duration.ofMillis(300));
    tryTo(this::read);
    assertEquals(MAX_BURST + 1, sentCalls.get());
  }

  private interface Call {
    void run() throws StoreException;
  }

  private static void tryTo(Call call) {
    try {
      call.run();
    } catch (StoreException e) {
      assertTrue(e instanceof StoreException.Unavailable, e.toString());
    }
  }

  private void read() throws StoreException {
    store.read("contracts/k");
  }

  private void watch() throws StoreException {
    store.watch("contracts/k", 1, Duration.ofSeconds(20));
  }

  private Store countingStore() {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (proxy, method, arguments) -> {
              sentCalls.incrementAndGet();
              return method.getName().equals("watch")
                  ? new WatchBatch(List.of(), List.of(), 1)
                  : Optional.empty();
            });
  }
}
