package org.sageladder.entry.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.sageladder.http.SessionObserver;

/**
 * Counts the connections of one port and closes those beyond the limit.
 *
 * <p>Without a limit, callers that keep opening connections use up all descriptors of the process,
 * and then neither targets nor peers can be reached. A connection beyond the limit is closed before
 * anything is read from it, so its caller can safely use another entry VM at once.
 */
final class ConnectionLimiter extends SessionObserver {
  private final int maxConnections;
  private final AtomicInteger openCount = new AtomicInteger();
  private final AtomicLong refusedCount = new AtomicLong();

  ConnectionLimiter(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  int openCount() {
    return openCount.get();
  }

  long refusedCount() {
    return refusedCount.get();
  }

  @Override
  public void connected(IOSession session) {
    if (openCount.incrementAndGet() > maxConnections) {
      refusedCount.incrementAndGet();
      session.close(CloseMode.IMMEDIATE);
    }
  }

  @Override
  public void disconnected(IOSession session) {
    openCount.decrementAndGet();
  }
}
