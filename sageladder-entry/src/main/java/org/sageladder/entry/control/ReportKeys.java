package org.sageladder.entry.control;

import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;

/**
 * Keys of the items that carry a zone's reports: one for all zones and one, published more often,
 * for the zones of the same region.
 */
final class ReportKeys {
  private static final String REGION_SUFFIX = "/near";

  private ReportKeys() {}

  static ItemKey forAllZones(String zone) {
    return new ItemKey(ItemKind.SUMMARY, zone);
  }

  static ItemKey forRegion(String zone) {
    return new ItemKey(ItemKind.SUMMARY, zone + REGION_SUFFIX);
  }

  static boolean isForRegion(ItemKey key) {
    return key.name().endsWith(REGION_SUFFIX);
  }

  /** The zone whose report has {@code key}. */
  static String reportingZone(ItemKey key) {
    String name = key.name();
    return isForRegion(key) ? name.substring(0, name.length() - REGION_SUFFIX.length()) : name;
  }
}
