package org.sageladder.entry.control;

import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;

/**
 * Keys of the items that carry a zone's report: one that goes to all zones, and one that goes more
 * often, to the zones of the same region.
 */
final class ReportKeys {
  private static final String NEAR_SUFFIX = "/near";

  private ReportKeys() {}

  static ItemKey far(String zone) {
    return new ItemKey(ItemKind.SUMMARY, zone);
  }

  static ItemKey near(String zone) {
    return new ItemKey(ItemKind.SUMMARY, zone + NEAR_SUFFIX);
  }

  static boolean isNear(ItemKey key) {
    return key.name().endsWith(NEAR_SUFFIX);
  }

  /** The zone that a report's key names. */
  static String zone(ItemKey key) {
    String name = key.name();
    return isNear(key) ? name.substring(0, name.length() - NEAR_SUFFIX.length()) : name;
  }
}
