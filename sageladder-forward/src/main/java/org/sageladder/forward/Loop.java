package org.sageladder.forward;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The one thread of an entry VM: its clock, its timers and its sockets.
 *
 * <p>Buffers are not pooled: on VMs this small the arenas of a pool outweigh what they save.
 */
public final class Loop implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop thread;

  private Loop(MultiThreadIoEventLoopGroup group) {
    this.group = group;
    this.thread = group.next();
  }

  /** Starts the thread. */
  public static Loop start() {
    return new Loop(
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory()));
  }

  /** What Netty's bootstraps take. */
  public EventLoop thread() {
    return thread;
  }

  /** Where buffers come from. */
  public ByteBufAllocator buffers() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  /** Milliseconds of the steady clock. */
  public long now() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  /** Runs {@code task} on the thread, soon. */
  public void run(Runnable task) {
    thread.execute(task);
  }

  /** Runs {@code task} on the thread after {@code millis}. */
  public Timer after(long millis, Runnable task) {
    var future = thread.schedule(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
    return () -> {
      var unused = future.cancel(false);
    };
  }

  /** Runs {@code task} on the thread each {@code millis}, from then on. */
  public void each(long millis, Runnable task) {
    var unused = thread.scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** A task that waits for its time. */
  @FunctionalInterface
  public interface Timer {
    /** Keeps the task from running, if it has not run yet. */
    void cancel();
  }

  @Override
  public void close() {
    var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
