package org.sageladder.core.spread;

import java.util.Comparator;

/**
 * Names one thing that is spread.
 *
 * @param name at most {@value #MAX_NAME_LENGTH} characters
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {
  /** Longest name, so that a key has a known largest size in a message. */
  public static final int MAX_NAME_LENGTH = 128;

  private static final Comparator<ItemKey> ORDER =
      Comparator.comparing(ItemKey::kind).thenComparing(ItemKey::name);

  /** Checks the length of the name. */
  public ItemKey {
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(
          "item name '"
              + name
              + "' has "
              + name.length()
              + " characters; use 1 to "
              + MAX_NAME_LENGTH);
    }
  }

  @Override
  public int compareTo(ItemKey other) {
    return ORDER.compare(this, other);
  }
}
