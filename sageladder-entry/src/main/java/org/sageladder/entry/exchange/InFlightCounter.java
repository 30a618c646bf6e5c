package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the callers' exchanges that have not ended yet, for which a planned stop waits. */
public final class InFlightCounter {
  private final AtomicInteger exchanges = new AtomicInteger();
  private final AtomicLong targetRequests = new AtomicLong();
  private volatile boolean isLeaving;

  private InFlightCounter() {}

  /** Creates a counter at zero. */
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

  /** Makes each response ask its caller to close the connection from now on. */
  public void beginLeaving() {
    isLeaving = true;
  }

  /** True once a planned stop has begun. */
  public boolean isLeaving() {
    return isLeaving;
  }
}
