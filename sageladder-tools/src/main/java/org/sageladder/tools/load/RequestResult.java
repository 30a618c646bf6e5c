package org.sageladder.tools.load;

/**
 * The result of one request as its caller saw it.
 *
 * @param arrival the request
 * @param latencyNanos time since the request was due, so that time spent waiting for a slow system
 *     counts
 * @param outcome outcome reported to the caller
 * @param code name of the result code, or of the error that the caller saw
 * @param target target that answered, empty if unknown
 * @param attempts number of times the request was sent
 */
public record RequestResult(
    Arrival arrival, long latencyNanos, Outcome outcome, String code, String target, int attempts) {

  /** Outcome reported to the caller. */
  public enum Outcome {
    /** The caller got the complete answer to its own request. */
    WHOLE,
    /**
     * The caller got the answer to another request, or a truncated answer presented as complete.
     */
    WRONG,
    /** The request ran, but its answer is not available. */
    RAN_UNSEEN,
    /** The request did not run. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN
  }
}
