package org.sageladder.standin.network;

import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.sageladder.core.time.TimeSource;

/**
 * An event loop on virtual time, which advances only when no task is due.
 *
 * <pre>{@code
 * VirtualLoop loop = VirtualLoop.create();
 * loop.schedule(() -> System.out.println("a minute later"), 1, TimeUnit.MINUTES);
 * loop.runFor(60_000); // returns immediately
 * }</pre>
 *
 * <p>Must be used on the thread that created it.
 */
public final class VirtualLoop extends ManualIoEventLoop {
  /** Wall-clock time at the start; any fixed value works. */
  private static final long START_WALL_MILLIS = 1_750_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MockTicker clock;

  private VirtualLoop(MockTicker clock) {
    super(null, Thread.currentThread(), LocalIoHandler.newFactory(), clock);
    this.clock = clock;
  }

  /** Creates a loop for the calling thread, with its clock at 0. */
  public static VirtualLoop create() {
    return new VirtualLoop(Ticker.newMockTicker());
  }

  /** Returns the virtual time since the creation of the loop. */
  public long nowMillis() {
    return clock.nanoTime() / NANOS_PER_MILLI;
  }

  /** Returns the loop's time, with a wall clock that is {@code wallOffsetMillis} ahead. */
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

  /** Advances the time by {@code millis} and runs all tasks that become due. */
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
    int taskCount = runNow();
    while (taskCount > 0) {
      taskCount = runNow();
    }
  }
}
