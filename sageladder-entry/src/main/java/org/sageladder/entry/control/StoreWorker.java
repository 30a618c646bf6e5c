package org.sageladder.entry.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.sageladder.core.event.EventKind;
import org.sageladder.core.event.EventSink;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.spread.Backoff;
import org.sageladder.core.spread.ElectionCall;
import org.sageladder.core.spread.RelayElection;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.platform.contract.StoredContract;

/**
 * Makes the control plane's blocking calls to the platform on threads of its own and hands their
 * ends to the control thread.
 */
final class StoreWorker implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
  private static final Duration FIRST_RETRY = Duration.ofMillis(100);
  private static final Duration LONGEST_RETRY = Duration.ofSeconds(3);
  private static final Duration LIST_PAUSE_OUTSIDE_DUTY = Duration.ofSeconds(5);
  private static final long IDLE_MILLIS = 250;

  private final BudgetedStore store;
  private final String contractKey;
  private final Duration listPeriod;
  private final Duration leaseTime;
  private final EventSink events;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private volatile boolean relaying;
  private volatile boolean closed;
  private volatile boolean listWanted = true;
  private volatile boolean failing;

  StoreWorker(
      BudgetedStore store,
      String customer,
      Duration listPeriod,
      Duration leaseTime,
      EventSink events) {
    this.store = store;
    this.contractKey = StoredContract.keyOf(customer);
    this.listPeriod = listPeriod;
    this.leaseTime = leaseTime;
    this.events = events;
  }

  /** What the control thread is told. */
  interface Results {
    /** Runs on the control thread. */
    void onControl(Runnable task);

    /** The store's answer to a fresh VM. */
    void firstRead(Optional<StoredValue> contract);

    void watched(StoredValue contract);

    void listed(List<ListedVm> lines);
  }

  /**
   * Starts the threads that read the contract once, watch it while relaying, and fetch the list.
   */
  void start(Results results, LongSupplier knownRevision) {
    threads.execute(() -> readOnce(results));
    threads.execute(() -> watchWhileRelaying(results, knownRevision));
    threads.execute(() -> listAsNeeded(results));
  }

  void relaying(boolean now) {
    relaying = now;
  }

  /** Whether the list is needed although this VM is no relay: it is fresh, or hears nobody. */
  void listWanted(boolean wanted) {
    listWanted = wanted;
  }

  /** Makes a call of the duty. */
  void call(ElectionCall call, RelayElection duty, Results results) {
    threads.execute(() -> make(call, duty, results));
  }

  void revoke(long lease) {
    threads.execute(
        () -> {
          try {
            store.revokeLease(lease);
          } catch (StoreException e) {
            logger.atFine().withCause(e).log("lease %d will end by itself", lease);
          }
        });
  }

  private void make(ElectionCall call, RelayElection duty, Results results) {
    try {
      Runnable end = end(call, duty);
      up();
      results.onControl(end);
    } catch (StoreException | RuntimeException e) {
      down(e);
      results.onControl(duty::onFailure);
    }
  }

  private Runnable end(ElectionCall call, RelayElection duty) throws StoreException {
    if (call instanceof ElectionCall.ReadOwner read) {
      var owner = store.read(read.key());
      return () -> duty.onOwnerRead(owner);
    }
    if (call instanceof ElectionCall.Claim claim) {
      var result = store.compareAndSet(claim.key(), 0, claim.value(), claim.lease());
      return () -> duty.onClaimed(result);
    }
    if (call instanceof ElectionCall.Renew renew) {
      boolean held = store.keepAlive(renew.lease());
      return () -> duty.onRenewed(held);
    }
    long lease = store.grantLease(leaseTime);
    return () -> duty.onGranted(lease);
  }

  private void readOnce(Results results) {
    Backoff backoff = backoff();
    while (!closed) {
      try {
        Optional<StoredValue> contract = store.read(contractKey);
        up();
        results.onControl(() -> results.firstRead(contract));
        return;
      } catch (StoreException | RuntimeException e) {
        down(e);
        rest(backoff.recordFailure());
      }
    }
  }

  private void watchWhileRelaying(Results results, LongSupplier knownRevision) {
    Backoff backoff = backoff();
    long after = 0;
    boolean was = false;
    while (!closed) {
      if (!relaying) {
        was = false;
        rest(Duration.ofMillis(IDLE_MILLIS));
        continue;
      }
      if (!was) {
        was = true;
        after = knownRevision.getAsLong();
      }
      try {
        WatchBatch batch = ((Store) store).watch(contractKey, after, WATCH_WAIT);
        after = batch.nextRevision();
        up();
        backoff.recordSuccess();
        forEachContract(batch, value -> results.onControl(() -> results.watched(value)));
      } catch (StoreException | RuntimeException e) {
        down(e);
        rest(backoff.recordFailure());
      }
    }
  }

  private void forEachContract(WatchBatch batch, Consumer<StoredValue> taker) {
    for (StoredValue value : batch.changed()) {
      if (value.key().equals(contractKey)) {
        taker.accept(value);
      }
    }
  }

  private void listAsNeeded(Results results) {
    Backoff backoff = backoff();
    while (!closed) {
      if (!relaying && !listWanted) {
        rest(Duration.ofMillis(IDLE_MILLIS));
        continue;
      }
      try {
        List<ListedVm> lines = store.fetch();
        backoff.recordSuccess();
        results.onControl(() -> results.listed(lines));
        restUntilNextList();
      } catch (StoreException | RuntimeException e) {
        down(e);
        rest(backoff.recordFailure());
      }
    }
  }

  private void restUntilNextList() {
    boolean asRelay = relaying;
    Duration pause = asRelay ? listPeriod : LIST_PAUSE_OUTSIDE_DUTY;
    long end = System.nanoTime() + pause.toNanos();
    while (!closed && relaying == asRelay && System.nanoTime() - end < 0) {
      rest(Duration.ofMillis(IDLE_MILLIS));
    }
  }

  private static Backoff backoff() {
    return Backoff.of(FIRST_RETRY, LONGEST_RETRY, ThreadLocalRandom.current());
  }

  private void up() {
    if (failing) {
      failing = false;
      events.record(EventKind.STORE_UP, "", "", "", 0, "answers again");
    }
  }

  private void down(Exception cause) {
    if (closed) {
      return;
    }
    if (!failing) {
      failing = true;
      events.record(EventKind.STORE_DOWN, "", "", "", 0, String.valueOf(cause.getMessage()));
    }
    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
        "the platform's service gave no answer; what is known stays in force: %s",
        cause.getMessage());
  }

  private void rest(Duration pause) {
    try {
      TimeUnit.NANOSECONDS.sleep(pause.toNanos());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  @Override
  public void close() {
    closed = true;
    threads.shutdownNow();
  }
}
