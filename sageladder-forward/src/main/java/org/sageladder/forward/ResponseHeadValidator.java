package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Recognizes heads that are no response to a request of this VM, such as those that begin with a
 * part of another response.
 *
 * <p>A target that breaks off in the head of a response that no request asked for may send the
 * response to the next request behind it. The status line of that response then stands in a reason
 * phrase or a header, which accept any text: {@code HTTP/1.1 200 OKHTTP/1.1 500 Failed}.
 */
public final class ResponseHeadValidator {
  private static final String PROTOCOL_PREFIX = "HTTP/";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}");

  private ResponseHeadValidator() {}

  /** Describes why a head is malformed, or returns null if it is not. */
  public static @Nullable String findFault(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      return String.valueOf(head.decoderResult().cause());
    }
    String version = head.protocolVersion().text();
    if (!version.equals(HttpVersion.HTTP_1_1.text())
        && !version.equals(HttpVersion.HTTP_1_0.text())) {
      return "unknown version";
    }
    if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      return "another protocol";
    }
    if (hasUnknownTransferCoding(head.headers())) {
      return "another transfer coding than chunked";
    }
    if (containsStatusLine(head.status().reasonPhrase())) {
      return "a second status line in the first one";
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
        return "a second status line among the headers";
      }
    }
    return null;
  }

  /** The decoder would take the coded bytes for the body, and the header is not forwarded. */
  private static boolean hasUnknownTransferCoding(HttpHeaders headers) {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.size() > 1
        || (codings.size() == 1
            && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)));
  }

  private static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL_PREFIX) && containsStatusLine((CharSequence) text);
  }

  /** True if the beginning of a response stands anywhere in {@code text}. */
  static boolean containsStatusLine(CharSequence text) {
    return STATUS_LINE.matcher(text).find();
  }
}
