package org.sageladder.core.message;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * The headers of one message that concern one connection only and are not passed on.
 *
 * <pre>{@code
 * ConnectionHeaders headers = ConnectionHeaders.naming(request.values("Connection"));
 * headers.contains("Keep-Alive"); // true: always; also true for names that Connection lists
 * }</pre>
 */
public final class ConnectionHeaders {
  private static final Set<String> ALWAYS =
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

  private final Set<String> named;

  private ConnectionHeaders(Set<String> named) {
    this.named = named;
  }

  /**
   * Those of a message.
   *
   * @param connectionValues the values of its {@code Connection} headers, each a list of names
   */
  public static ConnectionHeaders naming(Iterable<String> connectionValues) {
    Set<String> named = new HashSet<>();
    for (String value : connectionValues) {
      for (String name : value.split(",", -1)) {
        named.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return new ConnectionHeaders(named);
  }

  /** True where the header of that name, in any case, is not passed on. */
  public boolean contains(String header) {
    String name = header.toLowerCase(Locale.ROOT);
    return ALWAYS.contains(name) || named.contains(name);
  }
}
