package org.sageladder.forward;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that concern one connection only and are not passed on. */
final class Hop {
  private static final Set<String> NEVER_PASSED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  private Hop() {}

  /** What is passed on of {@code headers}, in the same order. */
  static HttpHeaders passedOn(HttpHeaders headers) {
    Set<String> named = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        named.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders passed =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!NEVER_PASSED.contains(name) && !named.contains(name)) {
        passed.add(header.getKey(), header.getValue());
      }
    }
    return passed;
  }
}
