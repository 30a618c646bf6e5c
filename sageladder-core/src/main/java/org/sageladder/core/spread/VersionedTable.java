package org.sageladder.core.spread;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Keeps the highest version of every item.
 *
 * <p>Merging is commutative, associative and idempotent, so two tables that received the same items
 * in any order are equal, and no key returns to a lower version. Not thread-safe.
 *
 * <pre>{@code
 * table.merge(Item.of(CONTRACT, "kannelkoda", 8, newer)); // true
 * table.merge(Item.of(CONTRACT, "kannelkoda", 7, older)); // false: 8 stays
 * }</pre>
 */
public final class VersionedTable {
  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private final int maxItems;
  private final SortedMap<ItemKey, Item> items = new TreeMap<>();
  private long digest;
  private long earliestExpiryMillis = Long.MAX_VALUE;

  private VersionedTable(int maxItems) {
    this.maxItems = maxItems;
  }

  /**
   * Returns an empty table that rejects new keys beyond {@code maxItems}, so that a peer cannot
   * fill the memory.
   */
  public static VersionedTable withCapacity(int maxItems) {
    return new VersionedTable(maxItems);
  }

  /** Stores {@code item} if it replaces the held version; returns false otherwise. */
  public boolean merge(Item item) {
    Item held = items.get(item.key());
    if (held == null && items.size() >= maxItems) {
      return false;
    }
    if (held != null && !item.replaces(held)) {
      return false;
    }
    if (held != null) {
      toggleInDigest(held);
    }
    items.put(item.key(), item);
    updateEarliestExpiry(item);
    toggleInDigest(item);
    return true;
  }

  /** The held version of {@code key}. */
  public Optional<Item> item(ItemKey key) {
    return Optional.ofNullable(items.get(key));
  }

  /** The held version number of {@code key}, 0 if there is none. */
  public long version(ItemKey key) {
    Item held = items.get(key);
    return held == null ? 0 : held.version();
  }

  /** All items, ordered by key. */
  public List<Item> items() {
    return new ArrayList<>(items.values());
  }

  /** Versions and payload hashes of all items of repaired kinds, ordered by key. */
  public Map<ItemKey, SpreadMessage.VersionStamp> repairedVersionStamps() {
    SortedMap<ItemKey, SpreadMessage.VersionStamp> stamps = new TreeMap<>();
    for (Item item : items.values()) {
      if (item.key().kind().isRepaired()) {
        stamps.put(item.key(), new SpreadMessage.VersionStamp(item.version(), payloadHash(item)));
      }
    }
    return Collections.unmodifiableMap(stamps);
  }

  static int payloadHash(Item item) {
    return (int) HASHER.hashBytesToLong(item.payload());
  }

  /**
   * A hash over all keys, versions and payloads of repaired kinds; equal tables have equal digests.
   */
  public long digest() {
    return digest;
  }

  /** Removes expired items and returns their keys. */
  public List<ItemKey> dropExpired(long wallMillis) {
    List<ItemKey> dropped = new ArrayList<>();
    if (wallMillis < earliestExpiryMillis) {
      return dropped;
    }
    earliestExpiryMillis = Long.MAX_VALUE;
    for (Item item : items()) {
      if (item.expiresAtMillis() > 0 && item.expiresAtMillis() <= wallMillis) {
        items.remove(item.key());
        toggleInDigest(item);
        dropped.add(item.key());
      } else {
        updateEarliestExpiry(item);
      }
    }
    return dropped;
  }

  private void updateEarliestExpiry(Item item) {
    if (item.expiresAtMillis() > 0) {
      earliestExpiryMillis = Math.min(earliestExpiryMillis, item.expiresAtMillis());
    }
  }

  private void toggleInDigest(Item item) {
    if (item.key().kind().isRepaired()) {
      digest ^=
          HASHER.hashCharsToLong(
              item.key().kind().name()
                  + '/'
                  + item.key().name()
                  + '/'
                  + item.version()
                  + '/'
                  + HASHER.hashBytesToLong(item.payload()));
    }
  }
}
