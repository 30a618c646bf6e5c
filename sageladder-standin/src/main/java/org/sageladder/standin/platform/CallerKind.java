package org.sageladder.standin.platform;

/**
 * One kind of request that callers send.
 *
 * @param route name of its route
 * @param host host that is named
 * @param prefix beginning of its path
 * @param idempotent true where it may run more than once
 * @param perSecond requests a second of all callers together
 * @param workMillis mean work of an object that the target does not know
 * @param goalMillis time within which an answer earns its full worth
 * @param deadlineMillis time for which a caller waits, its own retries included
 * @param worth worth of an answer in time; a late one earns a fifth
 * @param objects how many objects there are
 * @param habit how connections are used
 */
public record CallerKind(
    String route,
    String host,
    String prefix,
    boolean idempotent,
    double perSecond,
    long workMillis,
    long goalMillis,
    long deadlineMillis,
    double worth,
    int objects,
    Habit habit) {
  /** How callers use connections. */
  public enum Habit {
    /** A new one for each request. */
    FRESH,
    /** Kept ones. */
    KEPT,
    /** Two requests behind one another before the first answer. */
    PIPELINED
  }

  /** The same kind with {@code factor} times as many requests. */
  public CallerKind atPace(double factor) {
    return new CallerKind(
        route,
        host,
        prefix,
        idempotent,
        perSecond * factor,
        workMillis,
        goalMillis,
        deadlineMillis,
        worth,
        objects,
        habit);
  }
}
