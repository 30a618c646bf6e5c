package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the callers' exchanges that have begun and not ended, for a planned stop to wait on. */
public final class InFlightCounter {
  private final AtomicInteger exchanges = new AtomicInteger();
  private final AtomicLong targetRequests = new AtomicLong();
  private volatile boolean isLeaving;

  private InFlightCounter() {}

  /** A count of none. */
  public static InFlightCounter create() {
    return new InFlightCounter();
  }

  void begin() {
    exchanges.incrementAndGet();
  }

  void end() {
    exchanges.decrementAndGet();
  }

  void countRequest() {
    targetRequests.incrementAndGet();
  }

  /** Requests for targets since the start; look-ups and messages of peers do not count. */
  public long targetRequests() {
    return targetRequests.get();
  }

  /** Exchanges that have not ended. */
  public int exchanges() {
    return exchanges.get();
  }

  /** From now on each answer asks its caller to close the connection. */
  public void beginLeaving() {
    isLeaving = true;
  }

  /** True once a planned stop has begun. */
  public boolean isLeaving() {
    return isLeaving;
  }
}
