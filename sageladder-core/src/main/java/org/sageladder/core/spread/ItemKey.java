package org.sageladder.core.spread;

import java.util.Comparator;

/**
 * Names one thing that is spread.
 *
 * @param name at most {@value #LONGEST_NAME} characters
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {
  /** Longest name, so that a key has a known largest size in a message. */
  public static final int LONGEST_NAME = 128;

  private static final Comparator<ItemKey> ORDER =
      Comparator.comparing(ItemKey::kind).thenComparing(ItemKey::name);

  /** Checks the length of the name. */
  public ItemKey {
    if (name.isEmpty() || name.length() > LONGEST_NAME) {
      throw new IllegalArgumentException(
          "item name '"
              + name
              + "' has "
              + name.length()
              + " characters; use 1 to "
              + LONGEST_NAME);
    }
  }

  @Override
  public int compareTo(ItemKey other) {
    return ORDER.compare(this, other);
  }
}
