package org.sageladder.platform.settings;

/**
 * Thrown for an error in a settings or contract file.
 *
 * <p>The message is one line with file, key, value and the allowed values, for example {@code
 * entry.yaml: ports.callers: 70000 is not allowed; give a whole number from 0 to 65535}.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private static final int MAX_QUOTE_LENGTH = 60;

  private SettingsException(String message) {
    super(message);
  }

  /** Creates an error for a value that is not allowed for {@code key}. */
  static SettingsException badValue(String file, String key, String value, String allowed) {
    return new SettingsException(
        file + ": " + key + ": " + truncate(value) + " is not allowed; give " + allowed);
  }

  /** Creates an error for a required key that the file does not have. */
  static SettingsException missing(String file, String key, String allowed) {
    return new SettingsException(file + ": " + key + ": missing; give " + allowed);
  }

  /** Creates an error other than an invalid value or a missing key; {@code key} may be empty. */
  static SettingsException of(String file, String key, String problem) {
    String location = key.isEmpty() ? file : file + ": " + key;
    return new SettingsException(location + ": " + toSingleLine(problem));
  }

  private static String truncate(String value) {
    String line = toSingleLine(value);
    return line.length() <= MAX_QUOTE_LENGTH ? line : line.substring(0, MAX_QUOTE_LENGTH) + "...";
  }

  private static String toSingleLine(String text) {
    return text.replaceAll("\\s+", " ").strip();
  }
}
