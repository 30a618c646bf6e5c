package org.sageladder.forward;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
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

  /** Longer than a caller pauses in the middle of a request that it is sending. */
  private static final long MIN_STALLED_MILLIS = 1_000;

  private final Consumer<RuntimeException> onFailure;
  private final Set<CallerConnection> open = new LinkedHashSet<>();
  private int maxConnections = Integer.MAX_VALUE;
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

  /** Limits the number of open connections. */
  void limit(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /**
   * Adds a connection. Beyond the limit, it replaces one that waits for its caller; false if there
   * is none, so that the new one is not accepted.
   */
  boolean add(CallerConnection connection, long nowMillis) {
    if (open.size() >= maxConnections && !closeIdlest() && !endStalled(nowMillis)) {
      return false;
    }
    open.add(connection);
    return true;
  }

  /** Closes a connection without a request, first one that has never had any. */
  private boolean closeIdlest() {
    CallerConnection idlest = null;
    for (CallerConnection connection : open) {
      if (!connection.isIdle()) {
        continue;
      }
      if (!connection.hasHadRequest()) {
        idlest = connection;
        break;
      }
      if (idlest == null || connection.waitingSinceMillis() < idlest.waitingSinceMillis()) {
        idlest = connection;
      }
    }
    if (idlest == null) {
      return false;
    }
    open.remove(idlest);
    idlest.closeNow();
    return true;
  }

  /** Ends the connection that has waited longest for its caller in the middle of a request. */
  private boolean endStalled(long nowMillis) {
    Optional<CallerConnection> stalled =
        open.stream().min(Comparator.comparingLong(CallerConnection::waitingSinceMillis));
    if (stalled.isEmpty() || stalled.get().waitingSinceMillis() > nowMillis - MIN_STALLED_MILLIS) {
      return false;
    }
    open.remove(stalled.get());
    stalled.get().evict();
    return true;
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
