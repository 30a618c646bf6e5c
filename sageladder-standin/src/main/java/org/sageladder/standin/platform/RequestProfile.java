package org.sageladder.standin.platform;

/**
 * The traffic of one kind of request that callers send.
 *
 * @param route name of the route
 * @param host value of the Host header
 * @param prefix prefix of the path
 * @param idempotent whether the request may run more than once
 * @param requestsPerSecond mean rate over all callers
 * @param meanServiceMillis mean run time for an object that the target has not cached
 * @param latencyGoalMillis latency up to which an answer has its full value
 * @param deadlineMillis time that a caller waits, including its own retries
 * @param answerValue value of an answer within the latency goal; a late one counts a fifth
 * @param objectCount number of distinct objects requested
 * @param connectionUse how callers use connections
 */
public record RequestProfile(
    String route,
    String host,
    String prefix,
    boolean idempotent,
    double requestsPerSecond,
    long meanServiceMillis,
    long latencyGoalMillis,
    long deadlineMillis,
    double answerValue,
    int objectCount,
    ConnectionUse connectionUse) {
  /** How callers use connections. */
  public enum ConnectionUse {
    /** A new connection for each request. */
    FRESH,
    /** Keep-alive connections that are reused. */
    KEPT,
    /** Keep-alive connections; two requests are sent without waiting for the first answer. */
    PIPELINED
  }

  /** Returns a copy with {@code factor} times the request rate. */
  public RequestProfile withRateFactor(double factor) {
    return new RequestProfile(
        route,
        host,
        prefix,
        idempotent,
        requestsPerSecond * factor,
        meanServiceMillis,
        latencyGoalMillis,
        deadlineMillis,
        answerValue,
        objectCount,
        connectionUse);
  }
}
