package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.time.VirtualTime;
import org.sageladder.platform.contract.StoredContract;

class StoreWorkerTest {
  private static final StoredValue CHANGED =
      new StoredValue(StoredContract.keyOf("customer"), 5, new byte[0]);

  private final AtomicInteger watchCount = new AtomicInteger();

  /** The first watch overflows the stack, the next one returns a change, and no other returns. */
  private Object answer(String call) throws InterruptedException {
    if (!call.equals("watch")) {
      return Optional.empty();
    }
    int number = watchCount.incrementAndGet();
    if (number == 1) {
      throw new StackOverflowError();
    }
    if (number > 2) {
      TimeUnit.DAYS.sleep(1);
    }
    return new WatchBatch(List.of(CHANGED), List.of(), 5);
  }

  private Store store() {
    return (Store)
        Proxy.newProxyInstance(
            Store.class.getClassLoader(),
            new Class<?>[] {Store.class},
            (proxy, method, arguments) -> answer(method.getName()));
  }

  /** Guards against a relay that never learns of a contract after a call threw an error. */
  @Test
  void contractIsWatchedAfterACallThatOverflowedTheStack() throws Exception {
    CompletableFuture<StoredValue> learnt = new CompletableFuture<>();
    RateLimitedStore limited =
        RateLimitedStore.of(store(), List::of, VirtualTime.startingAt(0), 100, 100);
    StoreWorker.Results results =
        new StoreWorker.Results() {
          @Override
          public void runOnControlThread(Runnable task) {
            task.run();
          }

          @Override
          public void onInitialRead(Optional<StoredValue> contract) {}

          @Override
          public void onContractChanged(StoredValue contract) {
            learnt.complete(contract);
          }

          @Override
          public void onPlatformList(List<ListedVm> vms) {}
        };
    Duration unused = Duration.ofSeconds(10);
    try (StoreWorker worker =
        new StoreWorker(limited, "customer", unused, unused, EventSink.none())) {
      worker.setRelay(true);
      worker.start(results, () -> 0);
      assertEquals(CHANGED, learnt.get(60, TimeUnit.SECONDS));
    }
  }
}
