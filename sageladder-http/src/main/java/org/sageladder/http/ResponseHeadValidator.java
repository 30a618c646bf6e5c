package org.sageladder.http;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpResponseInterceptor;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/**
 * Rejects the head of a response whose status is invalid, or that begins with a part of another
 * one.
 *
 * <p>A peer that breaks off in the head of a response that no request asked for may send the
 * response to the next request behind it, and the library keeps that part while a connection is
 * idle. The status line of the response then stands in a reason phrase or a header, which accept
 * any text: {@code HTTP/1.1 200 OKHTTP/1.1 500 Failed}.
 */
final class ResponseHeadValidator implements HttpResponseInterceptor {
  /** RFC 9110, section 15; the library rejects statuses below 100 and other than three digits. */
  private static final int MAX_STATUS = 599;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  @Override
  public void process(HttpResponse response, @Nullable EntityDetails entity, HttpContext context)
      throws ProtocolException {
    if (response.getCode() > MAX_STATUS) {
      throw new ProtocolException("the status is not a number from 100 to 599");
    }
    if (containsStatusLine(response.getReasonPhrase())) {
      throw new ProtocolException("a second status line in the first one");
    }
    for (Header header : response.getHeaders()) {
      if (containsStatusLine(header.getName()) || containsStatusLine(header.getValue())) {
        throw new ProtocolException("a second status line among the headers");
      }
    }
  }

  private static boolean containsStatusLine(@Nullable String text) {
    return text != null && STATUS_LINE.matcher(text).find();
  }
}
