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
 * In-memory model of the platform's store: items with revisions, change history, leases and pending
 * watches.
 *
 * <p>It has no network and no timers: {@link StorePort} maps calls to it and calls {@link
 * #expireDue} periodically. Values are base64 as on the wire.
 */
public final class StoreModel {
  /** Maximum number of items in a page of the platform's store. */
  public static final int MAX_PAGE_ITEMS = 500;

  /** A page ends before the item with which its values would be longer than this. */
  private static final int MAX_PAGE_CHARS = 1 << 20;

  private static final long FIRST_REVISION = 100;

  /**
   * An item of the store.
   *
   * @param value base64 value, or null for a removed key
   * @param createdRevision revision in which it was created
   * @param leaseId lease that it is attached to, 0 for none
   */
  public record Item(
      String key, @Nullable String value, long revision, long createdRevision, long leaseId) {}

  /** A page of items, or the changes that a watch returns. */
  public record Page(List<Item> items, boolean hasMore, long asOfRevision) {}

  /** The result of a watch. */
  public sealed interface WatchResult {
    /** Changes, or an empty page after the maximum wait. */
    record Changes(Page page) implements WatchResult {}

    /** The requested part of the history has been compacted. */
    record Compacted() implements WatchResult {}

    /** The store aborts the watch without an answer. */
    record Aborted() implements WatchResult {}
  }

  private record Watch(
      String prefix, long afterRevision, long deadlineMillis, Consumer<WatchResult> onResult) {}

  private record Lease(long ttlMillis, long expiresAtMillis) {}

  /** A change, with the time at which replicas may not have it yet. */
  private record Write(Item item, long atMillis) {}

  private final LongSupplier clock;
  private int maxPageItems;
  private final List<Write> writes = new ArrayList<>();
  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = FIRST_REVISION;
  private long compactedRevision;
  private long lastLeaseId = 7_000;
  private boolean areWatchesStalled;

  /**
   * Creates an empty store.
   *
   * @param clock current time in milliseconds
   * @param maxPageItems maximum number of items in a page
   */
  public StoreModel(LongSupplier clock, int maxPageItems) {
    this.clock = clock;
    this.maxPageItems = maxPageItems;
  }

  /** Returns the current revision. */
  public long revision() {
    return revision;
  }

  /** Returns the item with that key, or null. */
  public @Nullable Item find(String key) {
    return items.get(key);
  }

  /** Returns the keys that start with {@code prefix}. */
  public List<String> keys(String prefix) {
    return items.tailMap(prefix, true).keySet().stream()
        .takeWhile(key -> key.startsWith(prefix))
        .toList();
  }

  /** Limits the items of a page from now on. */
  public void limitPages(int maxItems) {
    maxPageItems = maxItems;
  }

  /** Returns a page of items whose keys start with {@code prefix} and follow {@code afterKey}. */
  public Page range(String prefix, @Nullable String afterKey) {
    return page(items, revision, prefix, afterKey);
  }

  /** Returns such a page as a replica has it that is {@code lagMillis} behind. */
  public Page staleRange(String prefix, @Nullable String afterKey, long lagMillis) {
    long asOfMillis = clock.getAsLong() - lagMillis;
    NavigableMap<String, Item> replica = new TreeMap<>();
    long replicaRevision = FIRST_REVISION;
    for (Write write : writes) {
      if (write.atMillis() > asOfMillis) {
        break;
      }
      Item item = write.item();
      replicaRevision = item.revision();
      if (item.value() == null) {
        replica.remove(item.key());
      } else {
        replica.put(item.key(), item);
      }
    }
    return page(replica, replicaRevision, prefix, afterKey);
  }

  private Page page(
      NavigableMap<String, Item> from,
      long asOfRevision,
      String prefix,
      @Nullable String afterKey) {
    List<Item> page = new ArrayList<>();
    int pageChars = 0;
    boolean inclusive = afterKey == null;
    for (Item item : from.tailMap(inclusive ? prefix : afterKey, inclusive).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      String value = item.value();
      pageChars += value == null ? 0 : value.length();
      boolean isFull = page.size() == maxPageItems || pageChars > MAX_PAGE_CHARS;
      if (isFull && !page.isEmpty()) {
        return new Page(page, true, asOfRevision);
      }
      page.add(item);
    }
    return new Page(page, false, asOfRevision);
  }

  /** Completes with the first changes after {@code afterRevision}, or empty after the wait. */
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
    Item previous = items.get(key);
    Item item =
        new Item(
            key,
            value,
            revision,
            previous == null ? revision : previous.createdRevision(),
            leaseId);
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
    writes.add(new Write(item, clock.getAsLong()));
    if (areWatchesStalled) {
      return;
    }
    List<Watch> pending = List.copyOf(watches);
    watches.clear();
    for (Watch watch : pending) {
      if (!tryComplete(watch)) {
        watches.add(watch);
      }
    }
  }

  /** Grants a lease and returns its id. */
  public long grantLease(long ttlMillis) {
    lastLeaseId++;
    leases.put(lastLeaseId, new Lease(ttlMillis, clock.getAsLong() + ttlMillis));
    return lastLeaseId;
  }

  /** Returns whether the lease has not expired. */
  public boolean isLeaseAlive(long leaseId) {
    return leases.containsKey(leaseId);
  }

  /** Renews a lease; returns false if it has ended. */
  public boolean renewLease(long leaseId) {
    Lease lease = leases.get(leaseId);
    if (lease == null) {
      return false;
    }
    leases.put(leaseId, new Lease(lease.ttlMillis(), clock.getAsLong() + lease.ttlMillis()));
    return true;
  }

  /** Ends a lease and removes its items. */
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

  /** Renews all leases for their full duration, as other stores do after an outage. */
  public void renewAllLeases() {
    leases.replaceAll(
        (id, lease) -> new Lease(lease.ttlMillis(), clock.getAsLong() + lease.ttlMillis()));
  }

  /** Compacts the history up to the current revision; watches from earlier revisions fail. */
  public void compactHistory() {
    history.clear();
    compactedRevision = revision;
  }

  /** Stops notifying watches of changes until {@link #abortWatches} is called. */
  public void stallWatches() {
    areWatchesStalled = true;
  }

  /** Aborts all pending watches and resumes notifying later ones. */
  public void abortWatches() {
    areWatchesStalled = false;
    List<Watch> pending = List.copyOf(watches);
    watches.clear();
    pending.forEach(watch -> watch.onResult().accept(new WatchResult.Aborted()));
  }

  /** Drops all pending watches; they are never answered. */
  public void dropWatches() {
    watches.clear();
  }

  /** Ends leases and watches whose time has run out. */
  public void expireDue() {
    long nowMillis = clock.getAsLong();
    leases.entrySet().stream()
        .filter(entry -> entry.getValue().expiresAtMillis() <= nowMillis)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::revokeLease);
    if (!areWatchesStalled) {
      watches.removeIf(watch -> watch.deadlineMillis() <= nowMillis && tryComplete(watch));
    }
  }
}
