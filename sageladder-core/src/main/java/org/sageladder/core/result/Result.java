package org.sageladder.core.result;

import java.time.Duration;

/** Result of a request: it ran, it did not run, or that is unknown. */
public sealed interface Result {
  /** The numbered code that gives the reason. */
  ResultCode code();

  /** The target ran the request. */
  record Ran(ResultCode code) implements Result {}

  /**
   * No target ran the request.
   *
   * @param retryAfter time after which a retry is worthwhile; zero if a retry would fail the same
   *     way
   */
  record NotRun(ResultCode code, Duration retryAfter, String detail) implements Result {}

  /** The request may have run. */
  record Unknown(ResultCode code, String detail) implements Result {}

  /** Creates a refusal without a retry time. */
  static NotRun notRun(ResultCode code, String detail) {
    return new NotRun(code, Duration.ZERO, detail);
  }
}
