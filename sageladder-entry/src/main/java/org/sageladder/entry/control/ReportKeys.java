package org.sageladder.entry.control;

import org.sageladder.core.spread.ItemKey;
import org.sageladder.core.spread.ItemKind;

/**
 * Keys of the items that carry a zone's report: one that goes to all zones, and one that goes more
 * often, to the zones of the same region.
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

  /** The zone that a report's key names. */
  static String reportingZone(ItemKey key) {
    String name = key.name();
    return isForRegion(key) ? name.substring(0, name.length() - REGION_SUFFIX.length()) : name;
  }
}
