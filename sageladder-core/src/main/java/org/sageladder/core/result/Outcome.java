package org.sageladder.core.result;

/** What is known about whether a request ran on a target. */
public enum Outcome {
  /** The target ran the request and its whole answer, or the fact that it ran, is known. */
  RAN,
  /** No target ran the request and none will; the caller may send it again. */
  NOT_RUN,
  /** The request may or may not have run; a request that must not repeat must not be sent anew. */
  UNKNOWN
}
