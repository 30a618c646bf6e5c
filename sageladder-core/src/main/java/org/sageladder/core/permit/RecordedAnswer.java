package org.sageladder.core.permit;

import java.util.List;

/**
 * A target's answer, kept so that a repeated request with the same permit gets the same one.
 *
 * @param status HTTP status of the answer, 100 to 999, or 0 if the answer was not kept
 * @param headers header lines as name and value
 * @param body complete body; empty if {@code isKept} is false
 * @param isKept false if the answer was not kept; the request did run
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, List<Header> headers, byte[] body, boolean isKept) {
  private static final int FIXED_BYTES = 64;

  /** Copies the list of headers. The body is not copied. */
  public RecordedAnswer {
    headers = List.copyOf(headers);
  }

  /** One header line. */
  public record Header(String name, String value) {}

  /** Returns a complete answer; {@code body} must not change afterwards. */
  public static RecordedAnswer complete(int status, List<Header> headers, byte[] body) {
    return new RecordedAnswer(status, headers, body, true);
  }

  /** Returns a record that the request ran, for an answer too large or too old to keep. */
  public static RecordedAnswer notKept() {
    return new RecordedAnswer(0, List.of(), new byte[0], false);
  }

  /** Estimated memory use in bytes. */
  public int memoryBytes() {
    int cost = FIXED_BYTES + body.length;
    for (Header header : headers) {
      cost += FIXED_BYTES + header.name().length() + header.value().length();
    }
    return cost;
  }
}
