package org.sageladder.tools.http;

import java.nio.charset.StandardCharsets;

/** Status and whole body of an answer. */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedHttpResponse(int status, byte[] body) {
  /** The body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
