package org.sageladder.tools.load;

/**
 * How one request ended, as its caller saw it.
 *
 * @param arrival the request
 * @param latencyNanos from when it was due, so that waiting for a slow system counts
 * @param outcome what the caller was told
 * @param code name of the result, or the fault that the caller saw
 * @param target target that answered, empty where unknown
 * @param attempts times it was sent
 */
public record RequestResult(
    Arrival arrival, long latencyNanos, Outcome outcome, String code, String target, int attempts) {

  /** What the caller was told. */
  public enum Outcome {
    /** The whole answer to its own request. */
    WHOLE,
    /** An answer that is not the one to its own request, or a part of it as if whole. */
    WRONG,
    /** It ran, and its answer cannot be had. */
    RAN_UNSEEN,
    /** It did not run. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
  }
}
