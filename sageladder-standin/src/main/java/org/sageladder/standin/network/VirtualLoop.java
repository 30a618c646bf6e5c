package org.sageladder.standin.network;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.time.TimeSource;

/**
 * An event loop whose time passes only when it has nothing left to do.
 *
 * <pre>{@code
 * VirtualLoop loop = VirtualLoop.create();
 * loop.schedule(() -> System.out.println("a minute later"), 1, TimeUnit.MINUTES);
 * loop.runFor(60_000); // returns at once
 * }</pre>
 *
 * <p>Belongs to the thread that made it.
 */
public final class VirtualLoop extends ManualIoEventLoop {
  /** Start of the virtual time of day; any fixed moment will do. */
  private static final long START_WALL_MILLIS = 1_750_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MockTicker clock;

  private VirtualLoop(MockTicker clock) {
    super(null, Thread.currentThread(), LocalIoHandler.newFactory(), clock);
    this.clock = clock;
  }

  /** A loop of the calling thread; its clock stands at 0. */
  public static VirtualLoop create() {
    return new VirtualLoop(Ticker.newMockTicker());
  }

  /** Milliseconds since the loop was made. */
  public long nowMillis() {
    return clock.nanoTime() / NANOS_PER_MILLI;
  }

  /** The loop's time as clocks of a machine whose time of day is {@code aheadMillis} ahead. */
  public TimeSource timeSource(long wallOffsetMillis) {
    return new TimeSource() {
      @Override
      public long nanos() {
        return clock.nanoTime();
      }

      @Override
      public long wallMillis() {
        return START_WALL_MILLIS + nowMillis() + wallOffsetMillis;
      }
    };
  }

  /** Runs what is due, and lets {@code millis} pass. */
  public void runFor(long millis) {
    long end = clock.nanoTime() + millis * NANOS_PER_MILLI;
    while (true) {
      runAllDue();
      long next = nextScheduledTaskDeadlineNanos();
      if (next < 0 || next > end) {
        clock.advance(end - clock.nanoTime(), TimeUnit.NANOSECONDS);
        runAllDue();
        return;
      }
      clock.advance(Math.max(0, next - clock.nanoTime()), TimeUnit.NANOSECONDS);
    }
  }

  private void runAllDue() {
    int ran = runNow();
    while (ran > 0) {
      ran = runNow();
    }
  }
}
