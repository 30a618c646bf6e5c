package org.sageladder.platform.settings;

/**
 * A mistake in a settings or contract file.
 *
 * <p>The message is one line that names file, key, value and what is allowed, for instance {@code
 * entry.yaml: ports.callers: 70000 is not allowed; give a whole number from 0 to 65535}.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private static final int MAX_QUOTE_LENGTH = 60;

  private SettingsException(String message) {
    super(message);
  }

  /** A value that is not allowed under {@code key}. */
  static SettingsException badValue(String file, String key, String value, String allowed) {
    return new SettingsException(
        file + ": " + key + ": " + truncate(value) + " is not allowed; give " + allowed);
  }

  /** A required key that the file does not have. */
  static SettingsException missing(String file, String key, String allowed) {
    return new SettingsException(file + ": " + key + ": missing; give " + allowed);
  }

  /** A mistake that is neither a wrong value nor a missing key; {@code key} may be empty. */
  static SettingsException of(String file, String key, String problem) {
    String place = key.isEmpty() ? file : file + ": " + key;
    return new SettingsException(place + ": " + toSingleLine(problem));
  }

  private static String truncate(String value) {
    String line = toSingleLine(value);
    return line.length() <= MAX_QUOTE_LENGTH ? line : line.substring(0, MAX_QUOTE_LENGTH) + "...";
  }

  private static String toSingleLine(String text) {
    return text.replaceAll("\\s+", " ").strip();
  }
}
