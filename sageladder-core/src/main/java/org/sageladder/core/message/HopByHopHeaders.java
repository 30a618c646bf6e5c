package org.sageladder.core.message;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * The hop-by-hop headers of one message: those that apply to a single connection and are not
 * forwarded.
 *
 * <pre>{@code
 * HopByHopHeaders headers = HopByHopHeaders.of(request.values("Connection"));
 * headers.contains("Keep-Alive"); // true: always; also true for names that Connection lists
 * }</pre>
 */
public final class HopByHopHeaders {
  private static final Set<String> STANDARD =
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

  /** Headers that a message needs on each connection, even if its sender lists them. */
  private static final Set<String> ALWAYS_FORWARDED = Set.of("content-length", "host");

  private final Set<String> listed;

  private HopByHopHeaders(Set<String> listed) {
    this.listed = listed;
  }

  /**
   * Returns the hop-by-hop headers of a message.
   *
   * @param connectionValues the values of its {@code Connection} headers, each a comma-separated
   *     list of header names
   */
  public static HopByHopHeaders of(Iterable<String> connectionValues) {
    Set<String> named = new HashSet<>();
    for (String value : connectionValues) {
      for (String name : value.split(",", -1)) {
        named.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return new HopByHopHeaders(named);
  }

  /** Returns whether the header with that name, in any case, is not forwarded. */
  public boolean contains(String header) {
    String name = header.toLowerCase(Locale.ROOT);
    return STANDARD.contains(name) || (listed.contains(name) && !ALWAYS_FORWARDED.contains(name));
  }

  /** Returns whether {@code Connection} lists the header with that name, in any case. */
  public boolean isListed(String header) {
    return listed.contains(header.toLowerCase(Locale.ROOT));
  }
}
