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
 * <p>No network and no timers: {@link StorePort} carries calls to it, and calls {@link #tick} now
 * and then. Values are the base64 texts of the wire.
 */
public final class StoreModel {
  /** Most items of a page, as the platform's store has it. */
  public static final int PAGE = 500;

  /**
   * One item.
   *
   * @param value base64 text, or null for a key that was removed
   * @param created revision of its creation
   * @param lease lease that it hangs on, 0 for none
   */
  public record Item(String key, @Nullable String value, long revision, long created, long lease) {}

  /** A page of items, or the changes that a watch brings. */
  public record Page(List<Item> items, boolean more, long asOf) {}

  /** How a watch ends. */
  public sealed interface Watched {
    /** Changes, or none where the wait is over. */
    record Changes(Page page) implements Watched {}

    /** The history that was asked for is forgotten. */
    record Forgotten() implements Watched {}

    /** The store ends the wait without an answer. */
    record Cut() implements Watched {}
  }

  private record Watch(String prefix, long after, long until, Consumer<Watched> answer) {}

  private record Lease(long millis, long until) {}

  private final LongSupplier clock;
  private final int pageItems;
  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new LinkedHashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision = 100;
  private long forgottenUntil;
  private long lastLease = 7_000;
  private boolean deaf;

  /**
   * A store without items.
   *
   * @param clock its time, in milliseconds
   * @param pageItems most items of a page
   */
  public StoreModel(LongSupplier clock, int pageItems) {
    this.clock = clock;
    this.pageItems = pageItems;
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
      if (page.size() == pageItems) {
        return new Page(page, true, revision);
      }
      page.add(item);
    }
    return new Page(page, false, revision);
  }

  /** Answers as soon as there is a change after revision {@code after}, or the wait is over. */
  public void watch(String prefix, long after, long waitMillis, Consumer<Watched> answer) {
    Watch watch = new Watch(prefix, after, clock.getAsLong() + waitMillis, answer);
    if (!settle(watch)) {
      watches.add(watch);
    }
  }

  private boolean settle(Watch watch) {
    if (watch.after() < forgottenUntil) {
      watch.answer().accept(new Watched.Forgotten());
      return true;
    }
    List<Item> changes =
        history.stream()
            .filter(item -> item.revision() > watch.after())
            .filter(item -> item.key().startsWith(watch.prefix()))
            .toList();
    if (changes.isEmpty() && clock.getAsLong() < watch.until()) {
      return false;
    }
    watch.answer().accept(new Watched.Changes(new Page(changes, false, revision)));
    return true;
  }

  /** Writes an item and returns the new revision. */
  public long put(String key, String value, long lease) {
    revision++;
    Item before = items.get(key);
    Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    changed(item);
    return revision;
  }

  /** Removes an item, if there is one. */
  public void remove(String key) {
    if (items.remove(key) == null) {
      return;
    }
    revision++;
    changed(new Item(key, null, revision, 0, 0));
  }

  private void changed(Item item) {
    history.add(item);
    if (deaf) {
      return;
    }
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    for (Watch watch : waiting) {
      if (!settle(watch)) {
        watches.add(watch);
      }
    }
  }

  /** Begins a lease and returns its number. */
  public long lease(long millis) {
    lastLease++;
    leases.put(lastLease, new Lease(millis, clock.getAsLong() + millis));
    return lastLease;
  }

  /** True where the lease lives. */
  public boolean isLeased(long lease) {
    return leases.containsKey(lease);
  }

  /** Renews a lease; false where it has ended. */
  public boolean renew(long lease) {
    Lease known = leases.get(lease);
    if (known == null) {
      return false;
    }
    leases.put(lease, new Lease(known.millis(), clock.getAsLong() + known.millis()));
    return true;
  }

  /** Ends a lease and removes what hangs on it. */
  public void endLease(long lease) {
    if (leases.remove(lease) == null) {
      return;
    }
    items.values().stream()
        .filter(item -> item.lease() == lease)
        .map(Item::key)
        .toList()
        .forEach(this::remove);
  }

  /** Ends all leases, as some stores do while they are down. */
  public void endAllLeases() {
    List.copyOf(leases.keySet()).forEach(this::endLease);
  }

  /** Lets all leases run from now, as the others do. */
  public void pauseLeases() {
    leases.replaceAll((id, lease) -> new Lease(lease.millis(), clock.getAsLong() + lease.millis()));
  }

  /** Forgets the history; watches from before now are told so. */
  public void forgetHistory() {
    history.clear();
    forgottenUntil = revision;
  }

  /** Lets waiting watches hear nothing of what changes, until they are cut. */
  public void deafenWatches() {
    deaf = true;
  }

  /** Ends all waiting watches; those that come later hear everything. */
  public void cutWatches() {
    deaf = false;
    List<Watch> waiting = List.copyOf(watches);
    watches.clear();
    waiting.forEach(watch -> watch.answer().accept(new Watched.Cut()));
  }

  /** Drops all waiting watches without an answer. */
  public void dropWatches() {
    watches.clear();
  }

  /** Ends leases and waits whose time is over. */
  public void tick() {
    long now = clock.getAsLong();
    leases.entrySet().stream()
        .filter(entry -> entry.getValue().until() <= now)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::endLease);
    if (!deaf) {
      watches.removeIf(watch -> watch.until() <= now && settle(watch));
    }
  }
}
