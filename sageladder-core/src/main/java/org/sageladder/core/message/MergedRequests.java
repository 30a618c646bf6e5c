package org.sageladder.core.message;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Recognizes the head of a request that consists of a part of a request and of the next one.
 *
 * <p>A caller that breaks off in a head, or sends a longer body than it announced, makes one head
 * of these bytes and of its next request: {@code GGET /path HTTP/1.1}.
 */
public final class MergedRequests {
  private static final List<String> COMMON_METHODS =
      List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT");

  /** The only registered method that ends with the name of another one. */
  private static final String PROPPATCH = "PROPPATCH";

  private static final String PROTOCOL_PREFIX = "HTTP/1.";
  private static final Pattern REQUEST_LINE_AT_END = Pattern.compile("[A-Z] /\\S* HTTP/1\\.\\d$");

  private MergedRequests() {}

  /** True if other bytes precede the method. */
  public static boolean isMergedMethod(String method) {
    return !COMMON_METHODS.contains(method)
        && !method.equals(PROPPATCH)
        && COMMON_METHODS.stream().anyMatch(method::endsWith);
  }

  /** True if the value of a header ends with the first line of another request. */
  public static boolean isMergedHeader(String value) {
    return value.contains(PROTOCOL_PREFIX) && REQUEST_LINE_AT_END.matcher(value).find();
  }
}
