package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the callers' exchanges that have begun and not ended, for a planned stop to wait on. */
public final class InFlight {
  private final AtomicInteger count = new AtomicInteger();
  private final AtomicLong begun = new AtomicLong();
  private volatile boolean leaving;

  private InFlight() {}

  /** A count of none. */
  public static InFlight create() {
    return new InFlight();
  }

  void begin() {
    begun.incrementAndGet();
    count.incrementAndGet();
  }

  void end() {
    count.decrementAndGet();
  }

  /** Exchanges that have begun since the start. */
  public long begun() {
    return begun.get();
  }

  /** Exchanges that have not ended. */
  public int count() {
    return count.get();
  }

  /** From now on each answer asks its caller to close the connection. */
  public void beginLeaving() {
    leaving = true;
  }

  /** True once a planned stop has begun. */
  public boolean isLeaving() {
    return leaving;
  }
}
