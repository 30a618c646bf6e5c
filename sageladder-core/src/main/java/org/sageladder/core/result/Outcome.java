package org.sageladder.core.result;

/** Whether a request ran on a target, as far as that is known. */
public enum Outcome {
  /** The target ran the request; its complete response, or the fact that it ran, is known. */
  RAN,
  /** No target ran the request and none will; the caller may send it again. */
  NOT_RUN,
  /** The request may have run; a request that must not run twice must not be sent again. */
  UNKNOWN
}
