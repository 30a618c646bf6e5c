package org.sageladder.core.spread;

import java.util.Arrays;

/**
 * One version of a propagated item.
 *
 * @param version higher replaces lower, at least 1
 * @param expiresAtMillis wall-clock time after which no process keeps the item; 0 means never
 * @param payload encoded content; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record Item(ItemKey key, long version, long expiresAtMillis, byte[] payload) {
  /** Maximum payload size: the store's largest value plus room for its envelope. */
  public static final int MAX_PAYLOAD_BYTES = (1 << 20) + (1 << 14);

  private static final int HEADER_BYTES = 24;

  /** Checks version and size. */
  public Item {
    if (version < 1) {
      throw new IllegalArgumentException("version " + version + " of " + key + " is less than 1");
    }
    if (payload.length > MAX_PAYLOAD_BYTES) {
      throw new IllegalArgumentException(
          key
              + " has "
              + payload.length
              + " bytes; expected at most "
              + MAX_PAYLOAD_BYTES
              + " bytes");
    }
  }

  /** Returns an item that does not expire. */
  public static Item of(ItemKind kind, String name, long version, byte[] payload) {
    return new Item(new ItemKey(kind, name), version, 0, payload);
  }

  /**
   * Whether this item replaces {@code other}, which has the same key.
   *
   * <p>Two payloads with the same version can only come from two relays that both act without a
   * lease while the store is down. Comparing the bytes makes all processes keep the same one of the
   * two.
   */
  public boolean replaces(Item other) {
    if (version != other.version) {
      return version > other.version;
    }
    return Arrays.compareUnsigned(payload, other.payload) > 0;
  }

  /** Size of this item in a message, rounded up. */
  public int wireBytes() {
    return HEADER_BYTES + key.name().length() + payload.length;
  }
}
