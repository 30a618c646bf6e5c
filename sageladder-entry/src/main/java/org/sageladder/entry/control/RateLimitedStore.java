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
 * The platform's store and VM list, with the call rate of this process limited; thread-safe.
 *
 * <p>Protects the service, whose capacity grows more slowly than the number of VMs, from a process
 * that calls it in a loop. A call beyond the limit fails with {@link StoreException.Unavailable}
 * without being sent, so its caller backs off as during an outage. A watch counts as one call,
 * however long it waits.
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

  /** Limits calls to {@code callsPerSecond} on average and {@code maxBurst} at once. */
  static RateLimitedStore of(
      Store store, VmList vmList, TimeSource time, double callsPerSecond, double maxBurst) {
    return new RateLimitedStore(store, vmList, TokenBucket.of(time, callsPerSecond, maxBurst));
  }

  /** Number of calls sent since the start, by kind. */
  Map<String, Long> callCounts() {
    Map<String, Long> counts = new TreeMap<>();
    callCounts.forEach((kind, count) -> counts.put(kind, count.sum()));
    return counts;
  }

  /** Number of calls that the rate limit refused. */
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

  /** Does nothing: the daemon owns the store and closes it. */
  @Override
  public void close() {}

  private void acquire(String callKind) throws StoreException {
    synchronized (tokenBucket) {
      if (!tokenBucket.tryTake(1)) {
        refusedCallCount.increment();
        throw new StoreException.Unavailable(
            "rate limit of store calls exceeded; " + callKind + " was not sent", null);
      }
    }
    callCounts.computeIfAbsent(callKind, name -> new LongAdder()).increment();
  }
}
