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
 * Makes the control plane's blocking calls to the platform on its own threads and passes the
 * results to the control thread. What a call throws counts as its failure, also a stack overflow: a
 * thread that ended would leave this VM without news of the contract.
 */
final class StoreWorker implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(3);
  private static final Duration NON_RELAY_LIST_FETCH_INTERVAL = Duration.ofSeconds(5);
  private static final long POLL_INTERVAL_MILLIS = 250;

  private final RateLimitedStore store;
  private final String contractKey;
  private final Duration listFetchInterval;
  private final Duration leaseTimeToLive;
  private final EventSink events;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private volatile boolean isRelay;
  private volatile boolean isClosed;
  private volatile boolean isListNeeded = true;
  private volatile boolean isFailing;

  StoreWorker(
      RateLimitedStore store,
      String customer,
      Duration listFetchInterval,
      Duration leaseTimeToLive,
      EventSink events) {
    this.store = store;
    this.contractKey = StoredContract.keyOf(customer);
    this.listFetchInterval = listFetchInterval;
    this.leaseTimeToLive = leaseTimeToLive;
    this.events = events;
  }

  /** Receives the results of the calls. */
  interface Results {
    /** Runs on the control thread. */
    void runOnControlThread(Runnable task);

    /** Called once with the contract that the first successful read returned. */
    void onInitialRead(Optional<StoredValue> contract);

    void onContractChanged(StoredValue contract);

    void onPlatformList(List<ListedVm> vms);
  }

  /**
   * Starts the threads that read the contract once, watch it while this VM is relay, and fetch the
   * platform's list.
   */
  void start(Results results, LongSupplier knownRevision) {
    executor.execute(() -> readContract(results));
    executor.execute(() -> watchContractWhileRelay(results, knownRevision));
    executor.execute(() -> fetchListWhileNeeded(results));
  }

  void setRelay(boolean newIsRelay) {
    isRelay = newIsRelay;
  }

  /**
   * Sets whether the list is needed although this VM is not relay: it is not ready yet, or the
   * relay has been silent for long.
   */
  void setListNeeded(boolean isNeeded) {
    isListNeeded = isNeeded;
  }

  /** Starts a call of the relay election. */
  void startElectionCall(ElectionCall call, RelayElection election, Results results) {
    executor.execute(() -> runElectionCall(call, election, results));
  }

  void revokeLease(long lease) {
    executor.execute(
        () -> {
          try {
            store.revokeLease(lease);
          } catch (StoreException e) {
            logger.atFine().withCause(e).log("lease %d was not revoked and will expire", lease);
          }
        });
  }

  private void runElectionCall(ElectionCall call, RelayElection election, Results results) {
    try {
      Runnable reportResult = performElectionCall(call, election);
      recordSuccess();
      results.runOnControlThread(reportResult);
    } catch (StoreException | RuntimeException | LinkageError | VirtualMachineError e) {
      recordFailure(e);
      results.runOnControlThread(election::onFailure);
    }
  }

  private Runnable performElectionCall(ElectionCall call, RelayElection election)
      throws StoreException {
    if (call instanceof ElectionCall.ReadOwner read) {
      var owner = store.read(read.key());
      return () -> election.onOwnerRead(owner);
    }
    if (call instanceof ElectionCall.Claim claim) {
      var result = store.compareAndSet(claim.key(), 0, claim.value(), claim.lease());
      return () -> election.onClaimed(result);
    }
    if (call instanceof ElectionCall.Renew renew) {
      boolean isHeld = store.keepAlive(renew.lease());
      return () -> election.onRenewed(isHeld);
    }
    long lease = store.grantLease(leaseTimeToLive);
    return () -> election.onGranted(lease);
  }

  private void readContract(Results results) {
    Backoff backoff = backoff();
    while (!isClosed) {
      try {
        Optional<StoredValue> contract = store.read(contractKey);
        recordSuccess();
        results.runOnControlThread(() -> results.onInitialRead(contract));
        return;
      } catch (StoreException | RuntimeException | LinkageError | VirtualMachineError e) {
        recordFailure(e);
        sleep(backoff.recordFailure());
      }
    }
  }

  private void watchContractWhileRelay(Results results, LongSupplier knownRevision) {
    Backoff backoff = backoff();
    long afterRevision = 0;
    boolean wasRelay = false;
    while (!isClosed) {
      if (!isRelay) {
        wasRelay = false;
        sleep(Duration.ofMillis(POLL_INTERVAL_MILLIS));
        continue;
      }
      if (!wasRelay) {
        wasRelay = true;
        afterRevision = knownRevision.getAsLong();
      }
      try {
        WatchBatch batch = ((Store) store).watch(contractKey, afterRevision, WATCH_TIMEOUT);
        recordSuccess();
        backoff.recordSuccess();
        forEachContract(
            batch, value -> results.runOnControlThread(() -> results.onContractChanged(value)));
        afterRevision = batch.nextRevision();
      } catch (StoreException | RuntimeException | LinkageError | VirtualMachineError e) {
        recordFailure(e);
        sleep(backoff.recordFailure());
      }
    }
  }

  private void forEachContract(WatchBatch batch, Consumer<StoredValue> consumer) {
    for (StoredValue value : batch.changed()) {
      if (value.key().equals(contractKey)) {
        consumer.accept(value);
      }
    }
  }

  private void fetchListWhileNeeded(Results results) {
    Backoff backoff = backoff();
    while (!isClosed) {
      if (!isRelay && !isListNeeded) {
        sleep(Duration.ofMillis(POLL_INTERVAL_MILLIS));
        continue;
      }
      try {
        List<ListedVm> vms = store.fetch();
        backoff.recordSuccess();
        results.runOnControlThread(() -> results.onPlatformList(vms));
        awaitNextFetch();
      } catch (StoreException | RuntimeException | LinkageError | VirtualMachineError e) {
        recordFailure(e);
        sleep(backoff.recordFailure());
      }
    }
  }

  private void awaitNextFetch() {
    boolean wasRelay = isRelay;
    Duration pause = wasRelay ? listFetchInterval : NON_RELAY_LIST_FETCH_INTERVAL;
    long endNanos = System.nanoTime() + pause.toNanos();
    while (!isClosed && isRelay == wasRelay && System.nanoTime() - endNanos < 0) {
      sleep(Duration.ofMillis(POLL_INTERVAL_MILLIS));
    }
  }

  private static Backoff backoff() {
    return Backoff.of(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, ThreadLocalRandom.current());
  }

  private void recordSuccess() {
    if (isFailing) {
      isFailing = false;
      events.record(EventKind.STORE_UP, "", "", "", 0, "answers again");
    }
  }

  private void recordFailure(Throwable cause) {
    if (isClosed) {
      return;
    }
    if (!isFailing) {
      isFailing = true;
      events.record(EventKind.STORE_DOWN, "", "", "", 0, String.valueOf(cause));
    }
    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
        "call to the platform failed; the known state stays in force: %s", cause.getMessage());
  }

  private void sleep(Duration pause) {
    try {
      TimeUnit.NANOSECONDS.sleep(pause.toNanos());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      isClosed = true;
    }
  }

  @Override
  public void close() {
    isClosed = true;
    executor.shutdownNow();
  }
}
