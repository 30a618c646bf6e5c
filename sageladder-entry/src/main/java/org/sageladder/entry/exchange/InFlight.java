package org.sageladder.entry.exchange;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the callers' exchanges that have begun and not ended, for a planned stop to wait on. */
public final class InFlight {
  private final AtomicInteger count = new AtomicInteger();
  private final AtomicLong requests = new AtomicLong();
  private volatile boolean leaving;

  private InFlight() {}

  /** A count of none. */
  public static InFlight create() {
    return new InFlight();
  }

  void begin() {
    count.incrementAndGet();
  }

  void end() {
    count.decrementAndGet();
  }

  void request() {
    requests.incrementAndGet();
  }

  /** Requests for targets since the start; look-ups and messages of peers do not count. */
  public long requests() {
    return requests.get();
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
