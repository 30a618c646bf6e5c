package org.sageladder.forward;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.sageladder.core.time.TimeSource;

/**
 * The one thread of an entry VM: its clock, its timers and its sockets.
 *
 * <p>Buffers are not pooled: on VMs this small the arenas of a pool outweigh what they save.
 */
public final class Loop implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop eventLoop;
  private final TimeSource time;
  private final Transport transport;
  private final Executor taskExecutor;
  private final Runnable onClose;

  private Loop(
      EventLoop thread, TimeSource time, Transport transport, Executor turns, Runnable end) {
    this.eventLoop = thread;
    this.time = time;
    this.transport = transport;
    this.taskExecutor = turns;
    this.onClose = end;
  }

  /** Starts a thread with this machine's clocks and sockets. */
  public static Loop start() {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    return new Loop(
        group.next(),
        TimeSource.system(),
        new Sockets(),
        Runnable::run,
        () -> {
          var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        });
  }

  /**
   * A loop on a thread that is run by others.
   *
   * @param time the clock by which {@code thread} runs its timers
   * @param turns runs each task when its time has come; may hold it back or drop it, as a machine
   *     does that is suspended or without power
   */
  public static Loop on(EventLoop thread, TimeSource time, Transport transport, Executor turns) {
    return new Loop(thread, time, transport, turns, () -> {});
  }

  /** What Netty's bootstraps take. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** Where buffers come from. */
  public ByteBufAllocator allocator() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  /** Milliseconds of the steady clock. */
  public long nowMillis() {
    return time.nanos() / NANOS_PER_MILLI;
  }

  /** Nanoseconds of the steady clock. */
  public long nowNanos() {
    return time.nanos();
  }

  /** Milliseconds since the Unix epoch by this machine's time of day, which may jump. */
  public long wallMillis() {
    return time.wallMillis();
  }

  /** Opens a connection; see {@link Transport#connect}. */
  public ChannelFuture connect(String host, int port, int connectMillis, ChannelHandler handler) {
    return transport.connect(this, host, port, connectMillis, handler);
  }

  /** Opens a port; see {@link Transport#listen}. */
  public ChannelFuture listen(String host, int port, ChannelHandler handler) {
    return transport.listen(this, host, port, handler);
  }

  /** Opens a port for datagrams; see {@link Transport#openDatagrams}. */
  public DatagramPort openDatagrams(
      String host, int port, DatagramPort.Receiver receiver, Consumer<Throwable> failed) {
    return transport.openDatagrams(this, host, port, receiver, failed);
  }

  /** Runs {@code task} on the thread, soon. */
  public void execute(Runnable task) {
    eventLoop.execute(() -> taskExecutor.execute(task));
  }

  /** Runs {@code task} on the thread after {@code millis}. */
  public Timer schedule(long delayMillis, Runnable task) {
    var future =
        eventLoop.schedule(
            () -> taskExecutor.execute(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    return () -> {
      var unused = future.cancel(false);
    };
  }

  /** Runs {@code task} on the thread each {@code millis}, from then on. */
  public void scheduleAtFixedRate(long intervalMillis, Runnable task) {
    var unused =
        eventLoop.scheduleAtFixedRate(
            () -> taskExecutor.execute(task),
            intervalMillis,
            intervalMillis,
            TimeUnit.MILLISECONDS);
  }

  /** A task that waits for its time. */
  @FunctionalInterface
  public interface Timer {
    /** Keeps the task from running, if it has not run yet. */
    void cancel();
  }

  @Override
  public void close() {
    onClose.run();
  }
}
