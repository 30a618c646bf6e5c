package org.sageladder.core.spread;

import java.util.Comparator;

/**
 * Identifies a propagated item.
 *
 * @param name at most {@value #MAX_NAME_LENGTH} characters
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {
  /** Maximum length of a name, which bounds the size of a key in a message. */
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
              + " characters, expected 1 to "
              + MAX_NAME_LENGTH);
    }
  }

  @Override
  public int compareTo(ItemKey other) {
    return ORDER.compare(this, other);
  }
}
