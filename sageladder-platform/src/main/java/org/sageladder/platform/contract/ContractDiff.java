package org.sageladder.platform.contract;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.sageladder.core.contract.Contract;

/** Finds the values in which two contracts differ, each under the key that operators know. */
public final class ContractDiff {
  /** Text of a value that one of the contracts does not have. */
  public static final String ABSENT = "(absent)";

  private ContractDiff() {}

  /**
   * One value that differs.
   *
   * @param key place in the contract, such as {@code services[bid].queueWait}
   */
  public record Difference(String key, String before, String after) {
    @Override
    public String toString() {
      return key + ": " + before + " -> " + after;
    }
  }

  /** All differences ordered by key; empty where only the revisions differ. */
  public static List<Difference> between(Contract before, Contract after) {
    Map<String, String> old = valuesByKey(before);
    Map<String, String> changed = valuesByKey(after);
    TreeSet<String> keys = new TreeSet<>(old.keySet());
    keys.addAll(changed.keySet());
    List<Difference> differences = new ArrayList<>();
    for (String key : keys) {
      String was = old.getOrDefault(key, ABSENT);
      String is = changed.getOrDefault(key, ABSENT);
      if (!was.equals(is)) {
        differences.add(new Difference(key, was, is));
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

  /** Entries of lists are told apart by what names them, so that moving one is no difference. */
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
