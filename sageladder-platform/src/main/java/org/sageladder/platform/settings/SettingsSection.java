package org.sageladder.platform.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Keys and values at one level of a settings file.
 *
 * <p>The allowed keys are declared up front, so that a misspelt key is reported as such and not as
 * a missing one. Each accessor throws {@link SettingsException} if the key is missing or its value
 * is not allowed; accessors with a default value accept a missing key.
 */
public final class SettingsSection {
  private final String fileName;
  private final String path;
  private final ObjectNode content;
  private final Set<String> knownKeys;

  private SettingsSection(String fileName, String path, ObjectNode content, Set<String> knownKeys) {
    this.fileName = fileName;
    this.path = path;
    this.content = content;
    this.knownKeys = knownKeys;
  }

  static SettingsSection of(String fileName, String path, ObjectNode content, String... keys)
      throws SettingsException {
    Set<String> known = new TreeSet<>(List.of(keys));
    SettingsSection section = new SettingsSection(fileName, path, content, known);
    for (Iterator<String> names = content.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw SettingsException.of(fileName, section.pathOf(name), unknownKey(name, known));
      }
    }
    return section;
  }

  /** Returns true if the file has a value for {@code key}. */
  public boolean has(String key) {
    return content.has(requireKnown(key));
  }

  /** Returns a string that is not empty. */
  public String text(String key) throws SettingsException {
    String allowed = "a string that is not empty";
    JsonNode node = required(key, allowed);
    if (!node.isTextual() || node.textValue().isBlank()) {
      throw badValue(key, node, allowed + " (put a number in quotes)");
    }
    return node.textValue();
  }

  /** Returns a string that matches {@code pattern}; {@code allowed} describes it in errors. */
  public String text(String key, Pattern pattern, String allowed) throws SettingsException {
    JsonNode node = required(key, allowed);
    if (!node.isTextual() || !pattern.matcher(node.textValue()).matches()) {
      throw badValue(key, node, allowed);
    }
    return node.textValue();
  }

  /**
   * Returns the constant whose name, in lower case and with hyphens for underscores, is the value.
   */
  public <E extends Enum<E>> E choice(String key, Class<E> type) throws SettingsException {
    List<String> names = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      names.add(settingName(constant));
    }
    String allowed = "one of " + String.join(", ", names);
    JsonNode node = required(key, allowed);
    int index = names.indexOf(node.asText());
    if (index < 0) {
      throw badValue(key, node, allowed);
    }
    return type.getEnumConstants()[index];
  }

  /** As {@link #choice(String, Class)}, or {@code defaultValue} if the key is missing. */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue)
      throws SettingsException {
    return has(key) ? choice(key, type) : defaultValue;
  }

  /** Returns a boolean. */
  public boolean flag(String key) throws SettingsException {
    String allowed = "true or false";
    JsonNode node = required(key, allowed);
    if (!node.isBoolean()) {
      throw badValue(key, node, allowed);
    }
    return node.booleanValue();
  }

  /** As {@link #flag(String)}, or {@code defaultValue} if the key is missing. */
  public boolean flag(String key, boolean defaultValue) throws SettingsException {
    return has(key) ? flag(key) : defaultValue;
  }

  /** Returns a whole number from {@code min} to {@code max}, both included. */
  public int wholeNumber(String key, int min, int max) throws SettingsException {
    return (int) longNumber(key, min, max);
  }

  /** As {@link #wholeNumber(String, int, int)}, or {@code defaultValue} if the key is missing. */
  public int wholeNumber(String key, int min, int max, int defaultValue) throws SettingsException {
    return has(key) ? wholeNumber(key, min, max) : defaultValue;
  }

  /** Returns a whole number from {@code min} to {@code max}, both included. */
  public long longNumber(String key, long min, long max) throws SettingsException {
    String allowed = "a whole number from " + min + " to " + max;
    JsonNode node = required(key, allowed);
    boolean inRange =
        node.isIntegralNumber()
            && node.canConvertToLong()
            && min <= node.longValue()
            && node.longValue() <= max;
    if (!inRange) {
      throw badValue(key, node, allowed);
    }
    return node.longValue();
  }

  /** Returns a number from {@code min} to {@code max}, both included. */
  public double decimal(String key, double min, double max) throws SettingsException {
    String allowed = "a number from " + formatNumber(min) + " to " + formatNumber(max);
    JsonNode node = required(key, allowed);
    boolean inRange = node.isNumber() && min <= node.doubleValue() && node.doubleValue() <= max;
    if (!inRange) {
      throw badValue(key, node, allowed);
    }
    return node.doubleValue();
  }

  /** As {@link #decimal(String, double, double)}, or {@code defaultValue} if the key is missing. */
  public double decimal(String key, double min, double max, double defaultValue)
      throws SettingsException {
    return has(key) ? decimal(key, min, max) : defaultValue;
  }

  /** Returns a duration such as {@code 250ms}, from {@code min} to {@code max}, both included. */
  public Duration duration(String key, Duration min, Duration max) throws SettingsException {
    String allowed =
        "a duration from "
            + DurationText.format(min)
            + " to "
            + DurationText.format(max)
            + ", such as 250ms, 6s or 10m";
    JsonNode node = required(key, allowed);
    Optional<Duration> value = DurationText.parse(node.asText());
    boolean inRange =
        value.isPresent() && value.get().compareTo(min) >= 0 && value.get().compareTo(max) <= 0;
    if (!inRange) {
      throw badValue(key, node, allowed);
    }
    return value.get();
  }

  /**
   * As {@link #duration(String, Duration, Duration)}, or {@code defaultValue} if the key is
   * missing.
   */
  public Duration duration(String key, Duration min, Duration max, Duration defaultValue)
      throws SettingsException {
    return has(key) ? duration(key, min, max) : defaultValue;
  }

  /** Returns a list of strings, each matching {@code pattern}; empty if the key is missing. */
  public List<String> texts(String key, Pattern pattern, String allowed) throws SettingsException {
    List<String> texts = new ArrayList<>();
    ArrayNode list = list(key, "a list, each entry " + allowed);
    for (int i = 0; i < list.size(); i++) {
      JsonNode node = list.get(i);
      if (!node.isTextual() || !pattern.matcher(node.textValue()).matches()) {
        throw badValue(key + "[" + i + "]", node, allowed);
      }
      texts.add(node.textValue());
    }
    return texts;
  }

  /** Returns the section under {@code key}, which may contain only {@code keys}. */
  public SettingsSection section(String key, String... keys) throws SettingsException {
    String allowed = "keys " + String.join(", ", keys);
    JsonNode node = required(key, allowed);
    if (!(node instanceof ObjectNode object)) {
      throw badValue(key, node, allowed);
    }
    return of(fileName, pathOf(key), object, keys);
  }

  /** As {@link #section(String, String...)}, or an empty section if the key is missing. */
  public SettingsSection sectionOrEmpty(String key, String... keys) throws SettingsException {
    if (has(key)) {
      return section(key, keys);
    }
    return of(fileName, pathOf(key), content.objectNode(), keys);
  }

  /**
   * Returns a list of sections, each of which may contain only {@code keys}; empty if the key is
   * missing.
   */
  public List<SettingsSection> sections(String key, String... keys) throws SettingsException {
    String allowed = "a list, each entry with keys " + String.join(", ", keys);
    List<SettingsSection> sections = new ArrayList<>();
    ArrayNode list = list(key, allowed);
    for (int i = 0; i < list.size(); i++) {
      String entry = key + "[" + i + "]";
      if (!(list.get(i) instanceof ObjectNode object)) {
        throw badValue(entry, list.get(i), "keys " + String.join(", ", keys));
      }
      sections.add(of(fileName, pathOf(entry), object, keys));
    }
    return sections;
  }

  /**
   * Creates an error about {@code key} that only the calling code can detect, such as two settings
   * with the same port.
   */
  public SettingsException error(String key, String value, String allowed) {
    return SettingsException.badValue(fileName, pathOf(key), value, allowed);
  }

  /** Creates an error for a missing {@code key}. */
  public SettingsException missing(String key, String allowed) {
    return SettingsException.missing(fileName, pathOf(key), allowed);
  }

  private ArrayNode list(String key, String allowed) throws SettingsException {
    if (!has(key)) {
      return content.arrayNode();
    }
    JsonNode node = content.get(key);
    if (!(node instanceof ArrayNode list)) {
      throw badValue(key, node, allowed);
    }
    return list;
  }

  private JsonNode required(String key, String allowed) throws SettingsException {
    JsonNode node = content.get(requireKnown(key));
    if (node == null) {
      throw missing(key, allowed);
    }
    return node;
  }

  private String requireKnown(String key) {
    if (!knownKeys.contains(key)) {
      throw new IllegalStateException("key " + key + " was not declared for section " + path);
    }
    return key;
  }

  private SettingsException badValue(String key, JsonNode node, String allowed) {
    String value = node.isValueNode() ? "'" + node.asText() + "'" : node.toString();
    return error(key, value, allowed);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static String unknownKey(String name, Set<String> known) {
    String nearest = Suggestion.nearest(name, known);
    String suggestion = nearest == null ? "." : "; did you mean '" + nearest + "'?";
    return "unknown key" + suggestion + " Allowed here: " + String.join(", ", known);
  }

  private static String settingName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
  }
}
