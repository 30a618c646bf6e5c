package org.sageladder.client;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.sageladder.core.result.ResultCode;

/** The result of one attempt at one entry VM. */
sealed interface AttemptResult {
  /** A complete response of the target. */
  @SuppressWarnings("ArrayRecordComponent")
  record Complete(int status, Map<String, List<String>> headers, byte[] body, String target)
      implements AttemptResult {}

  /**
   * The entry VM answered with its own result, not with a response of the target.
   *
   * @param newPermit the permit that came with the result, or empty
   */
  record EntryVmResult(ResultCode code, Duration retryAfter, String detail, String newPermit)
      implements AttemptResult {}

  /** No byte of the request was sent, for instance because no connection could be opened. */
  record NotSent(String detail) implements AttemptResult {}

  /** The request was sent, but no complete response arrived. */
  record Lost(String detail) implements AttemptResult {}
}
