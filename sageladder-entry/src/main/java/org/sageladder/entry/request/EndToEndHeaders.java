package org.sageladder.entry.request;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.sageladder.core.message.HopByHopHeaders;

/** Copies end-to-end headers and leaves out hop-by-hop headers. */
final class EndToEndHeaders {
  /** Headers that the HTTP library sets itself from the message and its body. */
  private static final Set<String> SET_BY_HTTP_LIBRARY =
      Set.of(
          "content-length",
          "content-type",
          "content-encoding",
          "host",
          "date",
          "server",
          "user-agent");

  private EndToEndHeaders() {}

  /**
   * Copies end-to-end headers from {@code from} to {@code to}.
   *
   * @param includeSageladderHeaders whether headers of sageladder are copied too, as between entry
   *     VMs
   */
  static void copy(HttpMessage from, HttpMessage to, boolean includeSageladderHeaders) {
    HopByHopHeaders hopByHop =
        HopByHopHeaders.of(
            Arrays.stream(from.getHeaders("Connection")).map(Header::getValue).toList());
    for (Header header : from.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (hopByHop.contains(name) || SET_BY_HTTP_LIBRARY.contains(name)) {
        continue;
      }
      if (name.startsWith("sageladder-") && !includeSageladderHeaders) {
        continue;
      }
      to.addHeader(header.getName(), header.getValue());
    }
  }
}
