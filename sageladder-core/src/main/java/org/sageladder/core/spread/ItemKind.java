package org.sageladder.core.spread;

/** Kinds of items in order of urgency: the byte budget is spent in this order. */
public enum ItemKind {
  /** An accepted contract; the name is the customer, the version the store's revision. */
  CONTRACT(true),
  /** A zone view; the name is the zone, the version the view number. */
  VIEW(true),
  /** A small notice for every entry VM that expires, such as a quarantined fingerprint. */
  NOTICE(true),
  /**
   * Load of one zone; the name is the zone. The next summary replaces it, so a lost one is not
   * repaired.
   */
  SUMMARY(false);

  private final boolean isRepaired;

  ItemKind(boolean repaired) {
    this.isRepaired = repaired;
  }

  /** Whether lost items of this kind are detected by comparing digests and fetched again. */
  public boolean isRepaired() {
    return isRepaired;
  }
}
