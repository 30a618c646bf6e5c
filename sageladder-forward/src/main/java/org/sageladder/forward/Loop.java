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
 * The event loop of an entry VM: its only thread with its clock, timers and sockets.
 *
 * <p>Buffers are not pooled: on VMs this small the arenas of a pool cost more than they save.
 */
public final class Loop implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop eventLoop;
  private final TimeSource time;
  private final Transport transport;
  private final Executor taskExecutor;
  private final Runnable onClose;
  private Consumer<Throwable> failureListener =
      failure -> System.err.println("sageladder: threw " + FailureLog.describe(failure));

  private Loop(
      EventLoop eventLoop,
      TimeSource time,
      Transport transport,
      Executor taskExecutor,
      Runnable onClose) {
    this.eventLoop = eventLoop;
    this.time = time;
    this.transport = transport;
    this.taskExecutor = taskExecutor;
    this.onClose = onClose;
  }

  /** Starts an event loop thread with this machine's clocks and sockets. */
  public static Loop start() {
    return start(new Sockets());
  }

  /**
   * Starts an event loop thread whose outgoing connections have the local address {@code host}, so
   * that other entry VMs recognise this one on a machine with several addresses.
   */
  public static Loop startAt(String host) {
    return start(Sockets.from(host));
  }

  private static Loop start(Transport transport) {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    return new Loop(
        group.next(),
        TimeSource.system(),
        transport,
        Runnable::run,
        () -> {
          var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        });
  }

  /**
   * Creates a loop on an event loop that others run, such as a simulation.
   *
   * @param time the clock by which {@code eventLoop} runs its timers
   * @param taskExecutor runs each task when it is due; may delay or drop it, to simulate a machine
   *     that is suspended or without power
   */
  public static Loop on(
      EventLoop eventLoop, TimeSource time, Transport transport, Executor taskExecutor) {
    return new Loop(eventLoop, time, transport, taskExecutor, () -> {});
  }

  /** The event loop, as Netty's bootstraps need it. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** Allocates buffers. */
  public ByteBufAllocator allocator() {
    return UnpooledByteBufAllocator.DEFAULT;
  }

  /** Milliseconds of the monotonic clock. */
  public long nowMillis() {
    return time.nanos() / NANOS_PER_MILLI;
  }

  /** Nanoseconds of the monotonic clock. */
  public long nowNanos() {
    return time.nanos();
  }

  /** Milliseconds since the Unix epoch by this machine's wall clock, which may jump. */
  public long wallMillis() {
    return time.wallMillis();
  }

  /** Opens a connection; see {@link Transport#connect}. */
  public ChannelFuture connect(
      String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
    return transport.connect(this, host, port, connectTimeoutMillis, handler);
  }

  /** Opens a listening port; see {@link Transport#listen}. */
  public ChannelFuture listen(String host, int port, ChannelHandler handler) {
    return transport.listen(this, host, port, handler);
  }

  /** Opens a datagram port; see {@link Transport#openDatagrams}. */
  public DatagramPort openDatagrams(
      String host, int port, DatagramPort.Receiver receiver, Consumer<Throwable> failed) {
    return transport.openDatagrams(this, host, port, receiver, failed);
  }

  /** Sets the receiver of what tasks and guarded callbacks throw; by default standard error. */
  public void setFailureListener(Consumer<Throwable> listener) {
    failureListener = listener;
  }

  /**
   * Runs a task or callback whose failure must not end what runs it. A stack overflow is reported
   * as well, since the depth of calls may follow what was received.
   */
  public void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | LinkageError | VirtualMachineError e) {
      reportFailure(e);
    }
  }

  /** Reports what a callback has thrown to the failure listener. */
  public void reportFailure(Throwable failure) {
    failureListener.accept(failure);
  }

  /** Queues {@code task} for execution on the event loop. */
  public void execute(Runnable task) {
    eventLoop.execute(() -> taskExecutor.execute(() -> runGuarded(task)));
  }

  /** Runs {@code task} on the event loop after {@code delayMillis}. */
  public Timer schedule(long delayMillis, Runnable task) {
    var future =
        eventLoop.schedule(
            () -> taskExecutor.execute(() -> runGuarded(task)),
            Math.max(0, delayMillis),
            TimeUnit.MILLISECONDS);
    return () -> {
      var unused = future.cancel(false);
    };
  }

  /** Runs {@code task} on the event loop every {@code intervalMillis}, first after that time. */
  public void scheduleAtFixedRate(long intervalMillis, Runnable task) {
    var unused =
        eventLoop.scheduleAtFixedRate(
            () -> taskExecutor.execute(() -> runGuarded(task)),
            intervalMillis,
            intervalMillis,
            TimeUnit.MILLISECONDS);
  }

  /** A scheduled task. */
  @FunctionalInterface
  public interface Timer {
    /** Cancels the task if it has not run yet. */
    void cancel();
  }

  @Override
  public void close() {
    onClose.run();
  }
}
