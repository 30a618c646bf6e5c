package org.sageladder.core.result;

import java.time.Duration;

/** How a request ended: it ran, it did not run, or that is not known. */
public sealed interface Result {
  /** The numbered code that says why. */
  ResultCode code();

  /** The target ran the request. */
  record Ran(ResultCode code) implements Result {}

  /**
   * No target ran the request.
   *
   * @param retryAfter when a new try is worth making; zero where a new try would fail the same way
   */
  record NotRun(ResultCode code, Duration retryAfter, String detail) implements Result {}

  /** The request may have run. */
  record Unknown(ResultCode code, String detail) implements Result {}

  /** A refusal with no advice on when to come back. */
  static NotRun notRun(ResultCode code, String detail) {
    return new NotRun(code, Duration.ZERO, detail);
  }
}
