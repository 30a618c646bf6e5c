package org.sageladder.tools.http;

import java.nio.charset.StandardCharsets;

/** Status and complete body of an HTTP response. */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedHttpResponse(int status, byte[] body) {
  /** The body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
