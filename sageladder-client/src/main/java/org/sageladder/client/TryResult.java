package org.sageladder.client;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sageladder.core.result.ResultCode;

/** What one try at one entry VM gave. */
sealed interface TryResult {
  /** A whole answer of the target. */
  @SuppressWarnings("ArrayRecordComponent")
  record Whole(int status, Map<String, List<String>> headers, byte[] body, String target)
      implements TryResult {}

  /**
   * The entry VM answered itself.
   *
   * @param freshPermit a permit that came with it, or empty
   */
  record Said(ResultCode code, Duration retryAfter, String detail, String freshPermit)
      implements TryResult {}

  /** No byte of the request was sent. */
  record NotSent(String detail) implements TryResult {}

  /** Sent, and no whole answer came. */
  record Lost(String detail) implements TryResult {}
}
