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
 * Refuses requests whose headers leave open where the body ends.
 *
 * <p>Failure guarded against: of two lengths, or a length beside chunks, one reader takes the first
 * and another the second, and the tail of one body is read as the next request. The HTTP library
 * closes the connection without an answer for a bad length and takes a length beside chunks; here
 * both get a numbered 400, after which the connection closes and nothing more is read from it.
 */
final class RequestFramingValidator implements HttpRequestInterceptor {
  private static final String INVALID_LENGTH_ATTRIBUTE = "sageladder.body-length-invalid";
  private static final int MAX_LENGTH_DIGITS = 18;

  private RequestFramingValidator() {}

  static RequestFramingValidator create() {
    return new RequestFramingValidator();
  }

  /** Reads no body where the length is invalid, so that {@link #process} gets to refuse it. */
  static ContentLengthStrategy contentLengthStrategy() {
    return message ->
        isValid(message) ? DefaultContentLengthStrategy.INSTANCE.determineLength(message) : 0;
  }

  /** True where the exchange was refused for its body's length. */
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
