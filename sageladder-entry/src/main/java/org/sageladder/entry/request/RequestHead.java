package org.sageladder.entry.request;

import java.time.Duration;
import java.util.UUID;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.sageladder.core.result.Result;
import org.sageladder.core.result.ResultCode;

/**
 * The validated head of a caller's request.
 *
 * @param id the caller's request id, or a generated one
 * @param path path and query for the target, starting with a slash
 * @param deadline time from now by which the caller wants the complete response
 * @param attemptTimeout time from now after which the caller tries another entry VM, at most {@code
 *     deadline}
 * @param permit the sealed permit, or empty
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param forwardedBy entry VM that forwarded the request, or empty
 * @param dispatchToken sealed token by which the permit's issuer authorizes this copy to run, or
 *     empty
 */
public record RequestHead(
    String id,
    String customer,
    String service,
    String path,
    Duration deadline,
    Duration attemptTimeout,
    String permit,
    String idempotencyKey,
    String forwardedBy,
    String dispatchToken) {

  /** Path prefix of requests. */
  public static final String PATH_PREFIX = "/v1/request/";

  private static final int MAX_HEADER_VALUE_LENGTH = 512;

  /** A validated head, or the refusal to send. */
  public sealed interface Parsed {
    /** The validated head. */
    record Accepted(RequestHead head) implements Parsed {}

    /** The refusal of an invalid head. */
    record Rejected(Result.NotRun result) implements Parsed {}
  }

  /** Validates the head of a request whose path starts with {@link #PATH_PREFIX}. */
  public static Parsed parse(HttpRequest request, String path) {
    String pathAfterPrefix = path.substring(PATH_PREFIX.length());
    int firstSlash = pathAfterPrefix.indexOf('/');
    String customer = firstSlash < 0 ? pathAfterPrefix : pathAfterPrefix.substring(0, firstSlash);
    String afterCustomer = firstSlash < 0 ? "" : pathAfterPrefix.substring(firstSlash + 1);
    int serviceEnd = endOfSegment(afterCustomer);
    String service = afterCustomer.substring(0, serviceEnd);
    if (customer.isEmpty() || service.isEmpty()) {
      return reject(
          ResultCode.UNKNOWN_ROUTE,
          "path '" + path + "' must be " + PATH_PREFIX + "CONTRACT/SERVICE/PATH");
    }
    String targetPath = afterCustomer.substring(serviceEnd);
    if (!targetPath.startsWith("/")) {
      targetPath = "/" + targetPath;
    }
    String deadlineText = headerValue(request, Headers.DEADLINE);
    if (deadlineText.isEmpty()) {
      return reject(
          ResultCode.DEADLINE_REQUIRED,
          "header "
              + Headers.DEADLINE
              + " is missing; send the time in milliseconds that you will wait");
    }
    long deadlineMillis = parseWholeNumber(deadlineText);
    if (deadlineMillis < 1) {
      return reject(
          ResultCode.DEADLINE_INVALID,
          Headers.DEADLINE + " '" + deadlineText + "' must be a whole number of at least 1");
    }
    String attemptTimeoutText = headerValue(request, Headers.ATTEMPT_TIMEOUT);
    long attemptTimeoutMillis =
        attemptTimeoutText.isEmpty() ? deadlineMillis : parseWholeNumber(attemptTimeoutText);
    if (attemptTimeoutMillis < 1) {
      return reject(
          ResultCode.DEADLINE_INVALID,
          Headers.ATTEMPT_TIMEOUT
              + " '"
              + attemptTimeoutText
              + "' must be a whole number of at least 1, or left out");
    }
    for (String name : Headers.LENGTH_LIMITED) {
      if (headerValue(request, name).length() > MAX_HEADER_VALUE_LENGTH) {
        return reject(
            ResultCode.MALFORMED_REQUEST,
            "header " + name + " is longer than " + MAX_HEADER_VALUE_LENGTH + " characters");
      }
    }
    String id = headerValue(request, Headers.REQUEST_ID);
    return new Parsed.Accepted(
        new RequestHead(
            id.isEmpty() ? UUID.randomUUID().toString() : id,
            customer,
            service,
            targetPath,
            Duration.ofMillis(deadlineMillis),
            Duration.ofMillis(Math.min(attemptTimeoutMillis, deadlineMillis)),
            headerValue(request, Headers.PERMIT),
            headerValue(request, Headers.IDEMPOTENCY_KEY),
            headerValue(request, Headers.FORWARDED_BY),
            headerValue(request, Headers.DISPATCH_TOKEN)));
  }

  private static int endOfSegment(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '/' || c == '?') {
        return i;
      }
    }
    return text.length();
  }

  private static Parsed reject(ResultCode code, String detail) {
    return new Parsed.Rejected(Result.notRun(code, detail));
  }

  private static String headerValue(HttpRequest request, String name) {
    Header header = request.getFirstHeader(name);
    return header == null || header.getValue() == null ? "" : header.getValue().trim();
  }

  private static long parseWholeNumber(String text) {
    if (text.length() > 12 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return -1;
    }
    return Long.parseLong(text);
  }
}
