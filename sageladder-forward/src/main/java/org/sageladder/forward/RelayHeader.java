package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What an entry VM states about a request that it passes to another one.
 *
 * @param rulesVersion version of the rules by which it accepted the request
 * @param sendCount number of attempts that may have reached a target so far
 */
record RelayHeader(long rulesVersion, int sendCount) {
  private static final String NAME = "Sageladder-Relay";
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,18})/([0-9]{1,4})");

  void addTo(HttpHeaders headers) {
    headers.set(NAME, rulesVersion + "/" + sendCount);
  }

  /** Removes the header from a request and returns it; empty if it is missing or malformed. */
  static Optional<RelayHeader> removeFrom(HttpHeaders headers) {
    String value = headers.get(NAME);
    headers.remove(NAME);
    Matcher match = FORMAT.matcher(value == null ? "" : value);
    return match.matches()
        ? Optional.of(
            new RelayHeader(Long.parseLong(match.group(1)), Integer.parseInt(match.group(2))))
        : Optional.empty();
  }
}
