package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import org.sageladder.core.message.HopByHopHeaders;

/** Selects the headers to forward from one connection to another. */
final class ForwardedHeaders {
  private ForwardedHeaders() {}

  /** The end-to-end headers of {@code headers}, in the same order. */
  static HttpHeaders of(HttpHeaders headers) {
    HopByHopHeaders connectionHeaders =
        HopByHopHeaders.of(headers.getAll(HttpHeaderNames.CONNECTION));
    HttpHeaders forwarded = CompactHeaders.unvalidated();
    for (Map.Entry<String, String> header : headers) {
      if (!connectionHeaders.contains(header.getKey())) {
        forwarded.add(header.getKey(), header.getValue());
      }
    }
    return forwarded;
  }
}
