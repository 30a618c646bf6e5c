package org.sageladder.core.permit;

import java.util.List;
import java.util.Optional;

/**
 * The MAC keys that seal and open permits: one signs, all of them verify.
 *
 * <p>A permit names its key, so a rotation that adds a key and keeps the one before refuses no live
 * permit.
 *
 * <pre>{@code
 * KeyRing ring = KeyRing.of(List.of(newKey, oldKey)); // newKey signs
 * }</pre>
 *
 * @param keys at least one; the first signs
 */
public record KeyRing(List<Key> keys) {
  private static final int MIN_SECRET_BYTES = 16;

  /** Copies the list and refuses an empty one or two keys of one id. */
  public KeyRing {
    keys = List.copyOf(keys);
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("a key ring has no key; give at least one");
    }
    long ids = keys.stream().map(Key::id).distinct().count();
    if (ids != keys.size()) {
      throw new IllegalArgumentException("two keys of one ring have the same id: " + keys);
    }
  }

  /** A ring whose first key signs. */
  public static KeyRing of(List<Key> keys) {
    return new KeyRing(keys);
  }

  /**
   * One secret and its name.
   *
   * @param id letters and digits, carried in every permit sealed with it
   * @param createdMillis wall clock when the key was made
   */
  public record Key(String id, long createdMillis, Secret secret) {
    /** Refuses an id that would not survive the permit's text form. */
    public Key {
      if (!id.matches("[A-Za-z0-9]{1,16}")) {
        throw new IllegalArgumentException(
            "key id '" + id + "' is not made of 1 to 16 letters and digits, for example 'k7'");
      }
    }
  }

  /** Secret bytes that never appear in a log line. */
  public static final class Secret {
    private final byte[] bytes;

    private Secret(byte[] bytes) {
      this.bytes = bytes;
    }

    /** A secret of at least 16 bytes. */
    public static Secret of(byte[] bytes) {
      if (bytes.length < MIN_SECRET_BYTES) {
        throw new IllegalArgumentException(
            "a secret of " + bytes.length + " bytes is too short; give 16 bytes or more");
      }
      return new Secret(bytes.clone());
    }

    /** A copy of the bytes. */
    public byte[] bytes() {
      return bytes.clone();
    }

    @Override
    public String toString() {
      return "(secret)";
    }
  }

  /** The key that seals new permits. */
  public Key signingKey() {
    return keys.get(0);
  }

  /** The key named {@code id}. */
  public Optional<Key> key(String id) {
    return keys.stream().filter(key -> key.id().equals(id)).findFirst();
  }
}
