package org.sageladder.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;

/** Reads faults that name only what is wrong; all else is healthy. */
public final class FaultJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private FaultJson() {}

  /**
   * The faults that {@code json} names, over {@code healthy}.
   *
   * @throws IOException for a field that faults of this kind lack, or a value out of range
   */
  public static <T> T read(byte[] json, T healthy, Class<T> type) throws IOException {
    return read(JSON.readTree(json), healthy, type);
  }

  static <T> T read(JsonNode given, T healthy, Class<T> type) throws IOException {
    ObjectNode whole = JSON.valueToTree(healthy);
    for (Map.Entry<String, JsonNode> field : given.properties()) {
      if (!whole.has(field.getKey())) {
        throw new IOException(
            "fault \"" + field.getKey() + "\" is unknown; expected one of " + names(whole));
      }
      whole.set(field.getKey(), field.getValue());
    }
    return JSON.treeToValue(whole, type);
  }

  private static String names(ObjectNode faults) {
    return String.join(", ", (Iterable<String>) faults::fieldNames);
  }
}
