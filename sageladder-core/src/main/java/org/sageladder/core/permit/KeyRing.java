package org.sageladder.core.permit;

import java.util.List;
import java.util.Optional;

/**
 * The MAC keys of permits: the first key signs, and all keys verify.
 *
 * <p>A permit carries the id of its key, so a rotation that adds a key and keeps the previous one
 * invalidates no live permit.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.of(List.of(newKey, oldKey)); // newKey signs
 * }</pre>
 *
 * @param keys at least one key; the first signs
 */
public record KeyRing(List<Key> keys) {
  private static final int MIN_SECRET_BYTES = 16;

  /** Copies the list and rejects an empty list or a duplicate key id. */
  public KeyRing {
    keys = List.copyOf(keys);
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("a key ring needs at least one key");
    }
    long ids = keys.stream().map(Key::id).distinct().count();
    if (ids != keys.size()) {
      throw new IllegalArgumentException("duplicate key id in a key ring: " + keys);
    }
  }

  /** Returns a ring whose first key signs. */
  public static KeyRing of(List<Key> keys) {
    return new KeyRing(keys);
  }

  /**
   * A secret and its id.
   *
   * @param id letters and digits; part of every permit signed with the key
   * @param createdMillis wall-clock time at which the key was created
   */
  public record Key(String id, long createdMillis, Secret secret) {
    /** Rejects an id that cannot be part of a permit's text form. */
    public Key {
      if (!id.matches("[A-Za-z0-9]{1,16}")) {
        throw new IllegalArgumentException(
            "invalid key id '" + id + "': expected 1 to 16 letters and digits, for example 'k7'");
      }
    }
  }

  /** Secret bytes; {@link #toString} does not reveal them, so they never appear in a log line. */
  public static final class Secret {
    private final byte[] bytes;

    private Secret(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns a secret of at least 16 bytes. */
    public static Secret of(byte[] bytes) {
      if (bytes.length < MIN_SECRET_BYTES) {
        throw new IllegalArgumentException(
            "secret has " + bytes.length + " bytes; expected at least 16");
      }
      return new Secret(bytes.clone());
    }

    /** Returns a copy of the bytes. */
    public byte[] bytes() {
      return bytes.clone();
    }

    @Override
    public String toString() {
      return "(secret)";
    }
  }

  /** The key that signs new permits. */
  public Key signingKey() {
    return keys.get(0);
  }

  /** The key with the given id. */
  public Optional<Key> key(String id) {
    return keys.stream().filter(key -> key.id().equals(id)).findFirst();
  }
}
