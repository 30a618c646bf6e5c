package org.sageladder.scenario.trouble;

import java.util.ArrayList;
import java.util.List;
import org.sageladder.standin.platform.PlatformTexts;

/** Values of entries that other writers put beside those of the targets; none names a target. */
public final class ForeignEntries {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final String PREFIX =
      "{\"service\":\"search\",\"address\":\"10.5.0.1:9000\",\"zone\":\"north-a\",";

  /**
   * Entries with an unknown state, no slots, an invalid zone, no JSON, an address without a port.
   */
  static final List<String> MALFORMED =
      List.of(
          PREFIX
              + "\"config_version\":\"v1\",\"slots\":3,\"state\":\"resting\","
              + "\"cold_left\":\"0ms\",\"sequence\":1}",
          PREFIX + "\"state\":\"ready\",\"cold_left\":\"0ms\",\"sequence\":1}",
          "{\"service\":\"search\",\"address\":\"10.5.0.1:9000\",\"slots\":3,"
              + "\"config_version\":\"v1\",\"zone\":7,\"state\":\"ready\"}",
          "no JSON at all",
          "{\"service\":\"search\",\"address\":\"10.5.0.1\",\"zone\":\"north-a\","
              + "\"config_version\":\"v1\",\"slots\":3,\"state\":\"ready\","
              + "\"cold_left\":\"0ms\",\"sequence\":1}");

  /** Objects in objects, deeper than calls on the stack of an entry VM can be. */
  static final String NESTED = "{\"a\":".repeat(3_000);

  private ForeignEntries() {}

  /** A value of the maximum length. */
  public static String longest() {
    return PlatformTexts.base64("{\"zone\":\"" + "x".repeat(MAX_VALUE_BYTES - 20) + "\"}");
  }

  /** Base64 values of all kinds: malformed, nested, of the maximum length, and not even base64. */
  public static List<String> values() {
    List<String> values = new ArrayList<>();
    MALFORMED.forEach(text -> values.add(PlatformTexts.base64(text)));
    values.add(PlatformTexts.base64(NESTED));
    values.add(PlatformTexts.base64("[".repeat(MAX_VALUE_BYTES)));
    values.add(PlatformTexts.base64("[" + "[],".repeat(MAX_VALUE_BYTES / 3 - 1) + "1]"));
    values.add(PlatformTexts.base64("{\"slots\":" + "9".repeat(MAX_VALUE_BYTES / 2) + "}"));
    values.add(longest());
    values.add("bytes that are no base64");
    return values;
  }
}
