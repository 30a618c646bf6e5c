package org.sageladder.core.time;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only when {@link #advance} is called, for tests and benchmarks of
 * decisions.
 */
public final class VirtualTime implements TimeSource {
  private final AtomicLong nanos = new AtomicLong();
  private final long startWallMillis;

  private VirtualTime(long startWallMillis) {
    this.startWallMillis = startWallMillis;
  }

  /** Creates a clock whose wall time starts at {@code wallMillis} since the Unix epoch. */
  public static VirtualTime startingAt(long wallMillis) {
    return new VirtualTime(wallMillis);
  }

  /** Advances monotonic and wall time by {@code step}, which must not be negative. */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("cannot advance a clock by the negative duration " + step);
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
