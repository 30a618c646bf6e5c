package org.sageladder.platform.contract;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sageladder.core.contract.Contract;

/** Finds the values in which two contracts differ, each under its path in the contract file. */
public final class ContractDiff {
  /** Text for a value that one of the contracts does not have. */
  public static final String ABSENT = "(absent)";

  private ContractDiff() {}

  /**
   * One value that differs.
   *
   * @param key path in the contract, such as {@code services[bid].queueWait}
   */
  public record Difference(String key, String before, String after) {
    @Override
    public String toString() {
      return key + ": " + before + " -> " + after;
    }
  }

  /** Returns all differences ordered by key; empty if only the revisions differ. */
  public static List<Difference> between(Contract before, Contract after) {
    Map<String, String> oldValues = valuesByKey(before);
    Map<String, String> newValues = valuesByKey(after);
    TreeSet<String> keys = new TreeSet<>(oldValues.keySet());
    keys.addAll(newValues.keySet());
    List<Difference> differences = new ArrayList<>();
    for (String key : keys) {
      String oldValue = oldValues.getOrDefault(key, ABSENT);
      String newValue = newValues.getOrDefault(key, ABSENT);
      if (!oldValue.equals(newValue)) {
        differences.add(new Difference(key, oldValue, newValue));
      }
    }
    return differences;
  }

  private static Map<String, String> valuesByKey(Contract contract) {
    Map<String, String> values = new TreeMap<>();
    flatten("", ContractFormat.toTree(contract), values);
    return values;
  }

  private static void flatten(String path, JsonNode node, Map<String, String> values) {
    if (node.isObject()) {
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        String key = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
        flatten(key, field.getValue(), values);
      }
    } else if (node.isArray() && !node.isEmpty() && node.get(0).isObject()) {
      for (JsonNode entry : node) {
        flatten(path + "[" + entryId(entry) + "]", entry, values);
      }
    } else {
      values.put(path, node.isArray() ? node.toString() : node.asText());
    }
  }

  /**
   * Identifies a list entry by its naming fields instead of its index, so that moving an entry is
   * not a difference.
   */
  private static String entryId(JsonNode entry) {
    if (entry.has("name")) {
      return entry.get("name").asText();
    }
    if (entry.has("from")) {
      return entry.get("from").asText() + "-" + entry.get("to").asText();
    }
    return entry.get("first").asText() + "-" + entry.get("last").asText();
  }
}
