package org.sageladder.http;

import org.apache.hc.core5.util.CharArrayBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Checks the lines of one head as they were received, for what the library accepts but RFC 9112
 * does not.
 *
 * <ul>
 *   <li>A header line that begins with whitespace: the library appends it to the header before it,
 *       although it may be a header of its own that frames the body.
 *   <li>A header whose name is no token.
 *   <li>A control character.
 * </ul>
 */
final class HeadLineValidator {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
  private static final char DELETE = 0x7f;

  /** CR and LF. */
  private static final int LINE_END_BYTES = 2;

  private final int maxHeadBytes;
  private int headBytes;
  private boolean hasStartLine;
  private @Nullable String fault;

  /**
   * Creates a validator that has seen no line.
   *
   * @param maxHeadBytes limit on all lines together
   */
  HeadLineValidator(int maxHeadBytes) {
    this.maxHeadBytes = maxHeadBytes;
  }

  /** Checks the next line, without its line terminator. */
  void check(CharArrayBuffer line) {
    headBytes += line.length() + LINE_END_BYTES;
    if (line.isEmpty()) {
      return;
    }
    if (containsControl(line)) {
      fault = "a control character in the head";
    }
    if (hasStartLine && !isToken(line, line.indexOf(':'))) {
      fault = "the name of a header is no token";
    }
    hasStartLine = true;
  }

  private static boolean containsControl(CharArrayBuffer line) {
    for (int i = 0; i < line.length(); i++) {
      char c = line.charAt(i);
      if (c == DELETE || (c < ' ' && c != '\t')) {
        return true;
      }
    }
    return false;
  }

  /** True if the characters before {@code end} are a token by RFC 9110, section 5.6.2. */
  private static boolean isToken(CharArrayBuffer line, int end) {
    for (int i = 0; i < end; i++) {
      if (!isTokenCharacter(line.charAt(i))) {
        return false;
      }
    }
    return end > 0;
  }

  private static boolean isTokenCharacter(char c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || TOKEN_PUNCTUATION.indexOf(c) >= 0;
  }

  /** Describes why the head is malformed, or returns null if no line so far makes it so. */
  @Nullable String fault() {
    return fault;
  }

  /** True if the lines so far are larger than a head may be. */
  boolean isTooLarge() {
    return headBytes > maxHeadBytes;
  }

  /** Forgets the lines so far; the next one is the first of another head. */
  void reset() {
    headBytes = 0;
    hasStartLine = false;
    fault = null;
  }
}
