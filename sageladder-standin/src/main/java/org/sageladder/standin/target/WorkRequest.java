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
 * What a request asks of the stand-in, read from its head.
 *
 * @param key what executions are counted by: query parameter {@code work}, else {@code Request-Id}
 * @param deadlineNanos monotonic time by which the caller wants the answer
 * @param answerBytes size of the answer's body
 * @param chunked true: the answer states no length
 * @param crashes true: running it crashes the target
 * @param checksum grows as the body comes in
 */
record WorkRequest(
    String key,
    long deadlineNanos,
    long answerBytes,
    boolean chunked,
    boolean crashes,
    RequestChecksum checksum) {

  private static final long LONGEST_DEADLINE_MILLIS = TimeUnit.DAYS.toMillis(1);

  static WorkRequest read(HttpRequest head, long usualAnswerBytes) {
    Map<String, String> query = query(head);
    long millis =
        Math.min(number(header(head, "Deadline-Millis"), Long.MAX_VALUE), LONGEST_DEADLINE_MILLIS);
    return new WorkRequest(
        query.getOrDefault("work", header(head, "Request-Id")),
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis),
        number(query.getOrDefault("answerBytes", ""), usualAnswerBytes),
        query.containsKey("chunked"),
        query.containsKey("crash"),
        RequestChecksum.begin(head.getMethod(), head.getPath()));
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

  private static long number(String text, long absent) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return absent;
    }
  }
}
