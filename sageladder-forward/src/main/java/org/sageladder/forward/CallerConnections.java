package org.sageladder.forward;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.sageladder.core.routing.CallerLimits;

/** The open connections of callers, and how many of them are about to close. */
final class CallerConnections {
  /**
   * Maximum number of connections that wait for their callers to close them after the last
   * response, so that callers who do not close cannot use up the descriptors.
   */
  private static final int MAX_LINGERING_CONNECTIONS = 256;

  private final Consumer<RuntimeException> onFailure;
  private final Set<CallerConnection> open = new LinkedHashSet<>();
  private int lingeringCount;
  private int closingCount;

  /**
   * Creates an empty set.
   *
   * @param onFailure called with what handling of a connection threw; the connection is closed, and
   *     the others are handled all the same
   */
  CallerConnections(Consumer<RuntimeException> onFailure) {
    this.onFailure = onFailure;
  }

  void add(CallerConnection connection) {
    open.add(connection);
  }

  void remove(CallerConnection connection) {
    open.remove(connection);
  }

  /** True if one more connection may wait for its caller to close it. */
  boolean mayLinger() {
    return lingeringCount < MAX_LINGERING_CONNECTIONS;
  }

  /** Counts a connection that waits for its caller to close it. */
  void lingeringStarted() {
    lingeringCount++;
  }

  void lingeringEnded() {
    lingeringCount--;
  }

  /** Counts a connection that closes once its caller has got the last response. */
  void closingStarted() {
    closingCount++;
  }

  void closingEnded() {
    closingCount--;
  }

  /** True if no request is being received or expected, and callers have read all responses. */
  boolean areIdle() {
    return closingCount == 0 && open.stream().noneMatch(CallerConnection::expectsRequest);
  }

  /** What keeps connections from being idle, for log lines. */
  String describe() {
    long receivingCount = open.stream().filter(CallerConnection::expectsRequest).count();
    return closingCount + " connections closing, " + receivingCount + " receiving";
  }

  void closeIdle() {
    forEach(CallerConnection::closeIfIdle);
  }

  void closeAll() {
    forEach(CallerConnection::closeNow);
  }

  void abandonRequests() {
    forEach(CallerConnection::abandonRequests);
  }

  void sweep(long nowMillis, CallerLimits limits) {
    forEach(connection -> connection.sweep(nowMillis, limits));
  }

  private void forEach(Consumer<CallerConnection> action) {
    for (CallerConnection connection : List.copyOf(open)) {
      try {
        action.accept(connection);
      } catch (RuntimeException e) {
        onFailure.accept(e);
        connection.closeNow();
      }
    }
  }
}
