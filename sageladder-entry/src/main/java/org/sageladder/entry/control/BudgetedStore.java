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
final class BudgetedStore implements Store, VmList {
  private final Store store;
  private final VmList list;
  private final TokenBucket budget;
  private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();
  private final LongAdder refused = new LongAdder();

  private BudgetedStore(Store store, VmList list, TokenBucket budget) {
    this.store = store;
    this.list = list;
    this.budget = budget;
  }

  /** At most {@code perSecond} calls a second in the long run, {@code burst} at once. */
  static BudgetedStore of(
      Store store, VmList list, TimeSource time, double perSecond, double burst) {
    return new BudgetedStore(store, list, TokenBucket.of(time, perSecond, burst));
  }

  /** Calls made since the start by kind. */
  Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    calls.forEach((kind, count) -> counts.put(kind, count.sum()));
    return counts;
  }

  /** Calls that the budget refused. */
  long refusedCalls() {
    return refused.sum();
  }

  @Override
  public Optional<StoredValue> read(String key) throws StoreException {
    spend("read");
    return store.read(key);
  }

  @Override
  public List<StoredValue> list(String prefix) throws StoreException {
    spend("list");
    return store.list(prefix);
  }

  @Override
  public WriteResult compareAndSet(
      String key, long expectedRevision, byte[] value, @Nullable Long lease) throws StoreException {
    spend("compareAndSet");
    return store.compareAndSet(key, expectedRevision, value, lease);
  }

  @Override
  public WriteResult compareAndDelete(String key, long expectedRevision) throws StoreException {
    spend("compareAndDelete");
    return store.compareAndDelete(key, expectedRevision);
  }

  @Override
  public long grantLease(Duration timeToLive) throws StoreException {
    spend("grantLease");
    return store.grantLease(timeToLive);
  }

  @Override
  public boolean keepAlive(long lease) throws StoreException {
    spend("keepAlive");
    return store.keepAlive(lease);
  }

  @Override
  public void revokeLease(long lease) throws StoreException {
    spend("revokeLease");
    store.revokeLease(lease);
  }

  @Override
  public WatchBatch watch(String prefix, long afterRevision, Duration wait) throws StoreException {
    spend("watch");
    return store.watch(prefix, afterRevision, wait);
  }

  @Override
  public List<ListedVm> fetch() throws StoreException {
    spend("vms");
    return list.fetch();
  }

  /** The store belongs to the daemon, which closes it. */
  @Override
  public void close() {}

  private void spend(String kind) throws StoreException {
    synchronized (budget) {
      if (!budget.tryTake(1)) {
        refused.increment();
        throw new StoreException.Unavailable(
            "this process's budget of store calls is used up; " + kind + " was not sent", null);
      }
    }
    calls.computeIfAbsent(kind, name -> new LongAdder()).increment();
  }
}
