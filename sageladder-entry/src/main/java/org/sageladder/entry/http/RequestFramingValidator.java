package org.sageladder.entry.http;

import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestInterceptor;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/**
 * Rejects requests whose headers do not define unambiguously where the body ends.
 *
 * <p>Prevents request smuggling: with two lengths, or a length and chunked encoding, two HTTP
 * implementations may each use a different one, and the rest of one body is then read as the next
 * request. For an invalid length, the HTTP library closes the connection without a response; a
 * length next to chunked encoding it accepts. Here both get status 400 with a result code, after
 * which the connection is closed and nothing more is read from it.
 */
final class RequestFramingValidator implements HttpRequestInterceptor {
  private static final String INVALID_LENGTH_ATTRIBUTE = "sageladder.body-length-invalid";
  private static final int MAX_LENGTH_DIGITS = 18;

  private RequestFramingValidator() {}

  static RequestFramingValidator create() {
    return new RequestFramingValidator();
  }

  /**
   * Returns a strategy that reads no body if the length is invalid, so that {@link #process} can
   * reject the request.
   */
  static ContentLengthStrategy contentLengthStrategy() {
    return message ->
        isValid(message) ? DefaultContentLengthStrategy.INSTANCE.determineLength(message) : 0;
  }

  /** Whether the exchange was rejected because of the length of its body. */
  static boolean isRejected(HttpContext context) {
    return context.getAttribute(INVALID_LENGTH_ATTRIBUTE) != null;
  }

  @Override
  public void process(HttpRequest request, @Nullable EntityDetails entity, HttpContext context)
      throws ProtocolException {
    if (!isValid(request)) {
      context.setAttribute(INVALID_LENGTH_ATTRIBUTE, true);
      throw new ProtocolException("Content-Length and Transfer-Encoding: expected one of the two");
    }
  }

  private static boolean isValid(HttpMessage message) {
    Header[] lengths = message.getHeaders(HttpHeaders.CONTENT_LENGTH);
    Header[] encodings = message.getHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (lengths.length + encodings.length > 1) {
      return false;
    }
    if (encodings.length == 1) {
      return "chunked".equalsIgnoreCase(encodings[0].getValue());
    }
    return lengths.length == 0 || isLength(lengths[0].getValue());
  }

  private static boolean isLength(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_LENGTH_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
