package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Reads how long a target keeps an idle connection, from a header such as {@code Keep-Alive:
 * timeout=5, max=100}.
 */
final class KeepAliveTimeout {
  private static final String HEADER = "keep-alive";
  private static final String PARAMETER = "timeout=";
  private static final long MAX_SECONDS = 3_600;
  private static final long MILLIS_PER_SECOND = 1_000;

  private KeepAliveTimeout() {}

  /** Returns the stated milliseconds, or {@code defaultMillis} if none are stated. */
  static long millis(HttpHeaders headers, long defaultMillis) {
    String value = headers.get(HEADER, "");
    int start = value.indexOf(PARAMETER);
    if (start < 0) {
      return defaultMillis;
    }
    long seconds = 0;
    for (int i = start + PARAMETER.length(); i < value.length(); i++) {
      char digit = value.charAt(i);
      if (!Character.isDigit(digit)) {
        break;
      }
      seconds = Math.min(MAX_SECONDS, seconds * 10 + digit - '0');
    }
    return seconds * MILLIS_PER_SECOND;
  }
}
