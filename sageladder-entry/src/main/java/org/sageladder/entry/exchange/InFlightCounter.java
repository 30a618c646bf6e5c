package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the callers' exchanges that have not ended yet, for which a planned stop waits. */
public final class InFlightCounter {
  private final AtomicInteger exchangeCount = new AtomicInteger();
  private final AtomicLong targetRequestCount = new AtomicLong();
  private volatile boolean isLeaving;

  private InFlightCounter() {}

  /** Creates a counter at zero. */
  public static InFlightCounter create() {
    return new InFlightCounter();
  }

  void begin() {
    exchangeCount.incrementAndGet();
  }

  void end() {
    exchangeCount.decrementAndGet();
  }

  void countRequest() {
    targetRequestCount.incrementAndGet();
  }

  /**
   * Number of requests for targets since the start; look-ups and messages of peers do not count.
   */
  public long targetRequestCount() {
    return targetRequestCount.get();
  }

  /** Number of exchanges that have not ended. */
  public int exchangeCount() {
    return exchangeCount.get();
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
