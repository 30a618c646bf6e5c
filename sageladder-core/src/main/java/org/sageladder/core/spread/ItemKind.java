package org.sageladder.core.spread;

/** What an item is, most urgent first: the byte budget is spent in this order. */
public enum ItemKind {
  /** An accepted contract; the name is the customer, the version the store's revision. */
  CONTRACT(true),
  /** A zone view; the name is the zone, the version the view's number. */
  VIEW(true),
  /** A small notice to everybody that expires, such as a quarantined fingerprint. */
  NOTICE(true),
  /** Load of one zone; the name is the zone. The next one replaces it, so loss is not repaired. */
  SUMMARY(false);

  private final boolean isRepaired;

  ItemKind(boolean repaired) {
    this.isRepaired = repaired;
  }

  /** Whether a lost item must be found and fetched by comparing digests. */
  public boolean isRepaired() {
    return isRepaired;
  }
}
