package org.sageladder.standin.target;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.NameValuePair;
import org.apache.hc.core5.net.URIBuilder;

/**
 * The instructions of a request to the stand-in, read from its head.
 *
 * @param key key for counting executions: query parameter {@code work}, else {@code Request-Id}
 * @param deadlineNanos deadline on the monotonic clock
 * @param answerBytes size of the answer's body
 * @param isChunked whether the answer is chunked instead of stating its length
 * @param crashesTarget whether running it crashes the target
 * @param rangeFrom first requested byte, 0 for the complete answer
 * @param ifRange entity tag for which the range is valid, or empty
 * @param checksum checksum that is updated as the body arrives
 */
record WorkRequest(
    String key,
    long deadlineNanos,
    long answerBytes,
    boolean isChunked,
    boolean crashesTarget,
    long rangeFrom,
    String ifRange,
    RequestChecksum checksum) {

  private static final long MAX_DEADLINE_MILLIS = TimeUnit.DAYS.toMillis(1);

  static WorkRequest read(HttpRequest head, long defaultAnswerBytes) {
    Map<String, String> query = query(head);
    long millis =
        Math.min(parseLong(header(head, "Deadline-Millis"), Long.MAX_VALUE), MAX_DEADLINE_MILLIS);
    return new WorkRequest(
        query.getOrDefault("work", header(head, "Request-Id")),
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis),
        parseLong(query.getOrDefault("answerBytes", ""), defaultAnswerBytes),
        query.containsKey("chunked"),
        query.containsKey("crash"),
        rangeFrom(header(head, "Range")),
        header(head, "If-Range"),
        RequestChecksum.begin(head.getMethod(), head.getPath()));
  }

  /** Parses {@code bytes=N-}; any other range yields 0, the complete answer. */
  private static long rangeFrom(String range) {
    boolean isOpenEnded = range.startsWith("bytes=") && range.endsWith("-");
    return isOpenEnded ? Math.max(0, parseLong(range.substring(6, range.length() - 1), 0)) : 0;
  }

  /** Returns a strong entity tag; the request alone determines the answer's bytes. */
  String entityTag() {
    return "\"" + checksum.value() + "\"";
  }

  /** Returns the position of the first byte to send. */
  long answerFrom() {
    return ifRange.isEmpty() || ifRange.equals(entityTag()) ? rangeFrom : 0;
  }

  long remainingNanos() {
    return Math.max(0, deadlineNanos - System.nanoTime());
  }

  private static Map<String, String> query(HttpRequest head) {
    Map<String, String> query = new HashMap<>();
    try {
      for (NameValuePair pair : new URIBuilder(new URI(head.getPath())).getQueryParams()) {
        query.put(pair.getName(), pair.getValue() == null ? "" : pair.getValue());
      }
    } catch (URISyntaxException e) {
      return Map.of();
    }
    return query;
  }

  private static String header(HttpRequest head, String name) {
    Header header = head.getFirstHeader(name);
    return header == null ? "" : header.getValue();
  }

  private static long parseLong(String text, long defaultValue) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
