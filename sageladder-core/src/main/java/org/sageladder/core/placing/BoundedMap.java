package org.sageladder.core.placing;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that removes its oldest entry when it grows beyond a number of entries. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  BoundedMap(int maxEntries) {
    super();
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
