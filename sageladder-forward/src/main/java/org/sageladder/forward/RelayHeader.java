package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What an entry VM states about a request that it passes to another one, in two headers.
 *
 * @param rulesVersion version of the rules by which it accepted the request
 * @param sendCount number of attempts that may have reached a target so far
 * @param service the service to which it assigned the request
 */
record RelayHeader(long rulesVersion, int sendCount, String service) {
  private static final String NAME = "Sageladder-Relay";
  private static final String SERVICE_NAME = "Sageladder-Service";
  private static final Pattern FORMAT = Pattern.compile("([0-9]{1,18})/([0-9]{1,4})");

  void addTo(HttpHeaders headers) {
    headers.set(NAME, rulesVersion + "/" + sendCount);
    headers.set(SERVICE_NAME, service);
  }

  /** Removes the headers from a request and returns them; empty if one is missing or malformed. */
  static Optional<RelayHeader> removeFrom(HttpHeaders headers) {
    String value = headers.get(NAME, "");
    String service = headers.get(SERVICE_NAME, "");
    List.of(NAME, SERVICE_NAME).forEach(headers::remove);
    Matcher match = FORMAT.matcher(value);
    if (!match.matches() || service.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new RelayHeader(Long.parseLong(match.group(1)), Integer.parseInt(match.group(2)), service));
  }
}
