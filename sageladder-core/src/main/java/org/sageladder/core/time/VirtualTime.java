package org.sageladder.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A clock that stands still until told to advance, for tests and benchmarks of decisions. */
public final class VirtualTime implements TimeSource {
  private final AtomicLong nanos = new AtomicLong();
  private final long startWallMillis;

  private VirtualTime(long startWallMillis) {
    this.startWallMillis = startWallMillis;
  }

  /** A clock whose wall time starts at {@code wallMillis} since the Unix epoch. */
  public static VirtualTime startingAt(long wallMillis) {
    return new VirtualTime(wallMillis);
  }

  /** Moves both clocks forward by {@code step}, which must not be negative. */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("a clock cannot go back by " + step);
    }
    nanos.addAndGet(step.toNanos());
  }

  @Override
  public long nanos() {
    return nanos.get();
  }

  @Override
  public long wallMillis() {
    return startWallMillis + nanos.get() / 1_000_000;
  }
}
