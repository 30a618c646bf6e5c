package org.sageladder.entry.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.platform.ListedVm;
import org.sageladder.core.platform.VmList;
import org.sageladder.core.spread.TokenBucket;
import org.sageladder.core.store.Store;
import org.sageladder.core.store.StoreException;
import org.sageladder.core.store.StoredValue;
import org.sageladder.core.store.WatchBatch;
import org.sageladder.core.store.WriteResult;
import org.sageladder.core.time.TimeSource;

/**
 * The platform's service within this process's budget of calls; thread-safe.
 *
 * <p>Guards the service, whose rates grow more slowly than the fleet, against a process that calls
 * in a loop: beyond the budget a call fails here, as if the service were down, and its caller backs
 * off as it would then. A waiting watch counts as one call.
 */
final class RateLimitedStore implements Store, VmList {
  private final Store store;
  private final VmList vmList;
  private final TokenBucket tokenBucket;
  private final Map<String, LongAdder> callCounts = new ConcurrentHashMap<>();
  private final LongAdder refusedCallCount = new LongAdder();

  private RateLimitedStore(Store store, VmList vmList, TokenBucket tokenBucket) {
    this.store = store;
    this.vmList = vmList;
    this.tokenBucket = tokenBucket;
  }

  /** At most {@code perSecond} calls a second in the long run, {@code burst} at once. */
  static RateLimitedStore of(
      Store store, VmList vmList, TimeSource time, double callsPerSecond, double maxBurst) {
    return new RateLimitedStore(store, vmList, TokenBucket.of(time, callsPerSecond, maxBurst));
  }

  /** Calls made since the start by kind. */
  Map<String, Long> callCounts() {
    Map<String, Long> counts = new TreeMap<>();
    callCounts.forEach((kind, count) -> counts.put(kind, count.sum()));
    return counts;
  }

  /** Calls that the budget refused. */
  long refusedCallCount() {
    return refusedCallCount.sum();
  }

  @Override
  public Optional<StoredValue> read(String key) throws StoreException {
    acquire("read");
    return store.read(key);
  }

  @Override
  public List<StoredValue> list(String prefix) throws StoreException {
    acquire("list");
    return store.list(prefix);
  }

  @Override
  public WriteResult compareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) throws StoreException {
    acquire("compareAndSet");
    return store.compareAndSet(key, expectedRevision, value, lease);
  }

  @Override
  public WriteResult compareAndDelete(String key, long expectedRevision) throws StoreException {
    acquire("compareAndDelete");
    return store.compareAndDelete(key, expectedRevision);
  }

  @Override
  public long grantLease(Duration timeToLive) throws StoreException {
    acquire("grantLease");
    return store.grantLease(timeToLive);
  }

  @Override
  public boolean keepAlive(long lease) throws StoreException {
    acquire("keepAlive");
    return store.keepAlive(lease);
  }

  @Override
  public void revokeLease(long lease) throws StoreException {
    acquire("revokeLease");
    store.revokeLease(lease);
  }

  @Override
  public WatchBatch watch(String prefix, long afterRevision, Duration wait) throws StoreException {
    acquire("watch");
    return store.watch(prefix, afterRevision, wait);
  }

  @Override
  public List<ListedVm> fetch() throws StoreException {
    acquire("vms");
    return vmList.fetch();
  }

  /** The store belongs to the daemon, which closes it. */
  @Override
  public void close() {}

  private void acquire(String callKind) throws StoreException {
    synchronized (tokenBucket) {
      if (!tokenBucket.tryTake(1)) {
        refusedCallCount.increment();
        throw new StoreException.Unavailable(
            "this process's budget of store calls is used up; " + callKind + " was not sent", null);
      }
    }
    callCounts.computeIfAbsent(callKind, name -> new LongAdder()).increment();
  }
}
