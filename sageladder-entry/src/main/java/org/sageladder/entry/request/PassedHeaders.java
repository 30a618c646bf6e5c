package org.sageladder.entry.request;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;

/** Copies the headers that belong to the message, leaving those that belong to a connection. */
final class PassedHeaders {
  private static final Set<String> OF_THE_CONNECTION =
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
          "content-length",
          "content-type",
          "content-encoding",
          "host",
          "expect",
          "date",
          "server",
          "user-agent");

  private PassedHeaders() {}

  /**
   * Copies headers from {@code from} to {@code to}.
   *
   * @param ours whether headers of sageladder are copied too, as between entry VMs
   */
  static void copy(HttpMessage from, HttpMessage to, boolean ours) {
    Set<String> named = new HashSet<>();
    for (Header header : from.getHeaders("Connection")) {
      for (String name : header.getValue().split(",", -1)) {
        named.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    for (Header header : from.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      if (OF_THE_CONNECTION.contains(name) || named.contains(name)) {
        continue;
      }
      if (name.startsWith("sageladder-") && !ours) {
        continue;
      }
      to.addHeader(header.getName(), header.getValue());
    }
  }
}
