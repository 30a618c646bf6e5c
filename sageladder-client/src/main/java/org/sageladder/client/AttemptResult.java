package org.sageladder.client;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sageladder.core.result.ResultCode;

/** What one try at one entry VM gave. */
sealed interface AttemptResult {
  /** A whole answer of the target. */
  @SuppressWarnings("ArrayRecordComponent")
  record Complete(int status, Map<String, List<String>> headers, byte[] body, String target)
      implements AttemptResult {}

  /**
   * The entry VM answered itself.
   *
   * @param newPermit a permit that came with it, or empty
   */
  record EntryVmResult(ResultCode code, Duration retryAfter, String detail, String newPermit)
      implements AttemptResult {}

  /** No byte of the request was sent. */
  record NotSent(String detail) implements AttemptResult {}

  /** Sent, and no whole answer came. */
  record Lost(String detail) implements AttemptResult {}
}
