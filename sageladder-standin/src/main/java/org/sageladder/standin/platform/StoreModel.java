package org.sageladder.standin.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * What the platform's store keeps: items with revisions, its history, leases, waiting watches.
 *
 * <p>No network and no timers: {@link StorePort} carries calls to it, and calls {@link #expireDue}
 * now and then. Values are the base64 texts of the wire.
 */
public final class StoreModel {
  /** Most items of a page, as the platform's store has it. */
  public static final int MAX_PAGE_ITEMS = 500;

  /**
   * One item.
   *
   * @param value base64 text, or null for a key that was removed
   * @param createdRevision revision of its creation
   * @param leaseId lease that it hangs on, 0 for none
   */
  public record Item(
      String key, @Nullable String value, long revision, long createdRevision, long leaseId) {}

  /** A page of items, or the changes that a watch brings. */
  public record Page(List<Item> items, boolean hasMore, long asOfRevision) {}

  /** How a watch ends. */
  public sealed interface WatchResult {
    /** Changes, or none where the wait is over. */
    record Changes(Page page) implements WatchResult {}

    /** The history that was asked for is forgotten. */
    record Compacted() implements WatchResult {}

    /** The store ends the wait without an answer. */
    record Aborted() implements WatchResult {}
  }

  private record Watch(
      String prefix, long afterRevision, long deadlineMillis, Consumer<WatchResult> onResult) {}

  private record Lease(long ttlMillis, long expiresAtMillis) {}

  private final LongSupplier clock;
  private final int maxPageItems;
  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 100;
  private long compactedRevision;
  private long lastLeaseId = 7_000;
  private boolean areWatchesStalled;

  /**
   * A store without items.
   *
   * @param clock its time, in milliseconds
   * @param maxPageItems most items of a page
   */
  public StoreModel(LongSupplier clock, int maxPageItems) {
    this.clock = clock;
    this.maxPageItems = maxPageItems;
  }

  /** Its revision. */
  public long revision() {
    return revision;
  }

  /** The item of that key, or null. */
  public @Nullable Item find(String key) {
    return items.get(key);
  }

  /** Keys that begin with {@code prefix}. */
  public List<String> keys(String prefix) {
    return items.tailMap(prefix, true).keySet().stream()
        .takeWhile(key -> key.startsWith(prefix))
        .toList();
  }

  /** Items after {@code after} whose keys begin with {@code prefix}. */
  public Page range(String prefix, @Nullable String after) {
    List<Item> page = new ArrayList<>();
    boolean inclusive = after == null;
    for (Item item : items.tailMap(inclusive ? prefix : after, inclusive).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (page.size() == maxPageItems) {
        return new Page(page, true, revision);
      }
      page.add(item);
    }
    return new Page(page, false, revision);
  }

  /** Answers as soon as there is a change after revision {@code after}, or the wait is over. */
  public void watch(
      String prefix, long afterRevision, long waitMillis, Consumer<WatchResult> onResult) {
    Watch watch = new Watch(prefix, afterRevision, clock.getAsLong() + waitMillis, onResult);
    if (!tryComplete(watch)) {
      watches.add(watch);
    }
  }

  private boolean tryComplete(Watch watch) {
    if (watch.afterRevision() < compactedRevision) {
      watch.onResult().accept(new WatchResult.Compacted());
      return true;
    }
    List<Item> changes =
        history.stream()
            .filter(item -> item.revision() > watch.afterRevision())
            .filter(item -> item.key().startsWith(watch.prefix()))
            .toList();
    if (changes.isEmpty() && clock.getAsLong() < watch.deadlineMillis()) {
      return false;
    }
    watch.onResult().accept(new WatchResult.Changes(new Page(changes, false, revision)));
    return true;
  }

  /** Writes an item and returns the new revision. */
  public long put(String key, String value, long leaseId) {
    revision++;
    Item before = items.get(key);
    Item item =
        new Item(
            key, value, revision, before == null ? revision : before.createdRevision(), leaseId);
    items.put(key, item);
    recordChange(item);
    return revision;
  }

  /** Removes an item, if there is one. */
  public void remove(String key) {
    if (items.remove(key) == null) {
      return;
    }
    revision++;
    recordChange(new Item(key, null, revision, 0, 0));
  }

  private void recordChange(Item item) {
    history.add(item);
    if (areWatchesStalled) {
      return;
    }
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    for (Watch watch : waiting) {
      if (!tryComplete(watch)) {
        watches.add(watch);
      }
    }
  }

  /** Begins a lease and returns its number. */
  public long grantLease(long ttlMillis) {
    lastLeaseId++;
    leases.put(lastLeaseId, new Lease(ttlMillis, clock.getAsLong() + ttlMillis));
    return lastLeaseId;
  }

  /** True where the lease lives. */
  public boolean isLeaseAlive(long leaseId) {
    return leases.containsKey(leaseId);
  }

  /** Renews a lease; false where it has ended. */
  public boolean renewLease(long leaseId) {
    Lease known = leases.get(leaseId);
    if (known == null) {
      return false;
    }
    leases.put(leaseId, new Lease(known.ttlMillis(), clock.getAsLong() + known.ttlMillis()));
    return true;
  }

  /** Ends a lease and removes what hangs on it. */
  public void revokeLease(long leaseId) {
    if (leases.remove(leaseId) == null) {
      return;
    }
    items.values().stream()
        .filter(item -> item.leaseId() == leaseId)
        .map(Item::key)
        .toList()
        .forEach(this::remove);
  }

  /** Ends all leases, as some stores do while they are down. */
  public void revokeAllLeases() {
    List.copyOf(leases.keySet()).forEach(this::revokeLease);
  }

  /** Lets all leases run from now, as the others do. */
  public void renewAllLeases() {
    leases.replaceAll(
        (id, lease) -> new Lease(lease.ttlMillis(), clock.getAsLong() + lease.ttlMillis()));
  }

  /** Forgets the history; watches from before now are told so. */
  public void compactHistory() {
    history.clear();
    compactedRevision = revision;
  }

  /** Lets waiting watches hear nothing of what changes, until they are cut. */
  public void stallWatches() {
    areWatchesStalled = true;
  }

  /** Ends all waiting watches; those that come later hear everything. */
  public void abortWatches() {
    areWatchesStalled = false;
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    waiting.forEach(watch -> watch.onResult().accept(new WatchResult.Aborted()));
  }

  /** Drops all waiting watches without an answer. */
  public void dropWatches() {
    watches.clear();
  }

  /** Ends leases and waits whose time is over. */
  public void expireDue() {
    long now = clock.getAsLong();
    leases.entrySet().stream()
        .filter(entry -> entry.getValue().expiresAtMillis() <= now)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::revokeLease);
    if (!areWatchesStalled) {
      watches.removeIf(watch -> watch.deadlineMillis() <= now && tryComplete(watch));
    }
  }
}
