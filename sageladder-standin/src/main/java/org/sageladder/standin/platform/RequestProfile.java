package org.sageladder.standin.platform;

/**
 * One kind of request that callers send.
 *
 * @param route name of its route
 * @param host host that is named
 * @param prefix beginning of its path
 * @param idempotent true where it may run more than once
 * @param requestsPerSecond requests a second of all callers together
 * @param meanServiceMillis mean work of an object that the target does not know
 * @param latencyGoalMillis time within which an answer earns its full worth
 * @param deadlineMillis time for which a caller waits, its own retries included
 * @param answerValue worth of an answer in time; a late one earns a fifth
 * @param objectCount how many objects there are
 * @param connectionUse how connections are used
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
    /** A new one for each request. */
    FRESH,
    /** Kept ones. */
    KEPT,
    /** Two requests behind one another before the first answer. */
    PIPELINED
  }

  /** The same kind with {@code factor} times as many requests. */
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
