package org.sageladder.core.permit;

import java.util.List;

/**
 * The answer of a target, kept so that a repeat of the permit gets the same one.
 *
 * @param status HTTP status of the answer, 100 to 999, or 0 where the answer is not kept
 * @param headers header lines as name and value
 * @param body whole body; empty where {@code bodyKept} is false
 * @param isKept false where the answer is not kept; the request ran all the same
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, List<Header> headers, byte[] body, boolean isKept) {
  private static final int FIXED_BYTES = 64;

  /** Copies the list, so that the headers cannot change. */
  public RecordedAnswer {
    headers = List.copyOf(headers);
  }

  /** One header line. */
  public record Header(String name, String value) {}

  /** An answer kept whole; {@code body} must not change afterwards. */
  public static RecordedAnswer complete(int status, List<Header> headers, byte[] body) {
    return new RecordedAnswer(status, headers, body, true);
  }

  /** The mere fact that the request ran, for an answer too large or too old to keep. */
  public static RecordedAnswer notKept() {
    return new RecordedAnswer(0, List.of(), new byte[0], false);
  }

  /** Bytes of memory that the answer is reckoned to take. */
  public int memoryBytes() {
    int cost = FIXED_BYTES + body.length;
    for (Header header : headers) {
      cost += FIXED_BYTES + header.name().length() + header.value().length();
    }
    return cost;
  }
}
