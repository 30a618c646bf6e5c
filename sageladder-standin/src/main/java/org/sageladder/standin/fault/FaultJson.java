package org.sageladder.standin.fault;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;

/** Reads faults from JSON that names only the deviations from a healthy state. */
public final class FaultJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private FaultJson() {}

  /**
   * Reads {@code json}; fields that it does not name have the value of {@code healthy}.
   *
   * @throws IOException for an unknown field or a value out of range
   */
  public static <T> T read(byte[] json, T healthy, Class<T> type) throws IOException {
    return read(JSON.readTree(json), healthy, type);
  }

  static <T> T read(JsonNode json, T healthy, Class<T> type) throws IOException {
    ObjectNode merged = JSON.valueToTree(healthy);
    for (Map.Entry<String, JsonNode> field : json.properties()) {
      if (!merged.has(field.getKey())) {
        throw new IOException(
            "fault \"" + field.getKey() + "\" is unknown; expected one of " + names(merged));
      }
      merged.set(field.getKey(), field.getValue());
    }
    return JSON.treeToValue(merged, type);
  }

  private static String names(ObjectNode faults) {
    return String.join(", ", (Iterable<String>) faults::fieldNames);
  }
}
