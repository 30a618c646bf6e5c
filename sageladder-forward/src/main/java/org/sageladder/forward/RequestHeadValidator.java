package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.message.HopByHopHeaders;
import org.sageladder.core.message.MergedRequests;
import org.sageladder.core.result.ResultCode;

/**
 * Rejects request heads that two parsers might interpret differently.
 *
 * <p>If a target determined the length of a request otherwise than this entry VM, a second request
 * could be smuggled inside its body. A request with two hosts could be routed by one of them and
 * served by the other. And a caller that breaks off in a head, or sends a longer body than it
 * announced, makes one head of these bytes and of its next request: {@code GGET /path HTTP/1.1}.
 */
final class RequestHeadValidator {
  private static final List<String> FRAMING_HEADERS =
      List.of("content-length", "transfer-encoding", "host");

  private RequestHeadValidator() {}

  /** Returns the reason for rejecting the head, or null if it is valid. */
  static @Nullable ResultCode findFault(HttpRequest head, @Nullable String requestId) {
    HttpHeaders headers = head.headers();
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (encodings.size() > 1
        || (encodings.size() == 1 && !encodings.get(0).strip().equalsIgnoreCase("chunked"))) {
      return ResultCode.BODY_LENGTH_INVALID;
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1 || !head.uri().startsWith("/")) {
      return ResultCode.MALFORMED_REQUEST;
    }
    if (namesFramingHeader(headers.getAll(HttpHeaderNames.CONNECTION))
        || !isPrintable(head.uri())) {
      return ResultCode.MALFORMED_REQUEST;
    }
    if (requestId == null || requestId.isEmpty()) {
      return ResultCode.MALFORMED_REQUEST;
    }
    if (MergedRequests.isMergedMethod(head.method().name()) || containsRequestLine(headers)) {
      return ResultCode.MALFORMED_REQUEST;
    }
    return null;
  }

  /** True if a header ends with the first line of another request. */
  private static boolean containsRequestLine(HttpHeaders headers) {
    for (Map.Entry<String, String> header : headers) {
      if (MergedRequests.isMergedHeader(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /**
   * True if {@code Connection} names a header without which a target would find another end of the
   * request, or another host.
   */
  private static boolean namesFramingHeader(List<String> connectionValues) {
    HopByHopHeaders headers = HopByHopHeaders.of(connectionValues);
    return FRAMING_HEADERS.stream().anyMatch(headers::isListed);
  }

  /** Other characters would reach the target as other bytes. */
  private static boolean isPrintable(String uri) {
    return uri.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  /** The host named by the caller, in lower case and without port. */
  static String hostName(HttpRequest head) {
    String host = head.headers().get(HttpHeaderNames.HOST);
    int colon = host.indexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.strip().toLowerCase(Locale.ROOT);
  }

  /** The path without the query. */
  static String path(HttpRequest head) {
    int query = head.uri().indexOf('?');
    return query < 0 ? head.uri() : head.uri().substring(0, query);
  }
}
