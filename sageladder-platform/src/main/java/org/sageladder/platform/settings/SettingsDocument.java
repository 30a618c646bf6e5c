package org.sageladder.platform.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A settings file, parsed from YAML.
 *
 * <pre>{@code
 * SettingsSection root = SettingsDocument.parse("entry.yaml", text).root("vm", "ports");
 * String vm = root.text("vm");
 * int callers = root.section("ports", "callers", "inner").wholeNumber("callers", 0, 65_535);
 * }</pre>
 */
public final class SettingsDocument {
  private static final YAMLMapper MAPPER =
      YAMLMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final String fileName;
  private final ObjectNode content;

  private SettingsDocument(String fileName, ObjectNode content) {
    this.fileName = fileName;
    this.content = content;
  }

  /**
   * Parses {@code yaml}; {@code fileName} is only used in errors.
   *
   * @throws SettingsException if the text is not valid YAML, has a duplicate key, or is not a map
   *     of keys
   */
  public static SettingsDocument parse(String fileName, String yaml) throws SettingsException {
    JsonNode node;
    try {
      node = MAPPER.readTree(yaml);
    } catch (JsonProcessingException e) {
      throw SettingsException.of(fileName, "", describeLocation(e) + e.getOriginalMessage());
    }
    if (!(node instanceof ObjectNode content)) {
      throw SettingsException.of(fileName, "", "the file has no keys; give lines of 'key: value'");
    }
    return new SettingsDocument(fileName, content);
  }

  /**
   * Reads and parses a file in UTF-8.
   *
   * @throws SettingsException if the file cannot be read, or as {@link #parse} does
   */
  public static SettingsDocument read(Path file) throws SettingsException {
    String yaml;
    try {
      yaml = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw SettingsException.of(
          file.toString(),
          "",
          "cannot be read (" + e.getClass().getSimpleName() + "); give a file");
    }
    return parse(file.toString(), yaml);
  }

  /**
   * Returns the top level of the file, which may contain only {@code keys}.
   *
   * @throws SettingsException if the file has another key
   */
  public SettingsSection root(String... keys) throws SettingsException {
    return SettingsSection.of(fileName, "", content, keys);
  }

  private static String describeLocation(JsonProcessingException e) {
    if (e.getLocation() == null) {
      return "";
    }
    return "line " + e.getLocation().getLineNr() + ": ";
  }
}
