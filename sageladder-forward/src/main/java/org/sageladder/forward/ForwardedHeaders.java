package org.sageladder.forward;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import org.sageladder.core.message.HopByHopHeaders;

/** Headers that are passed on from one connection to another. */
final class ForwardedHeaders {
  private ForwardedHeaders() {}

  /** What is passed on of {@code headers}, in the same order. */
  static HttpHeaders of(HttpHeaders headers) {
    HopByHopHeaders left = HopByHopHeaders.of(headers.getAll(HttpHeaderNames.CONNECTION));
    HttpHeaders passed =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    for (Map.Entry<String, String> header : headers) {
      if (!left.contains(header.getKey())) {
        passed.add(header.getKey(), header.getValue());
      }
    }
    return passed;
  }
}
