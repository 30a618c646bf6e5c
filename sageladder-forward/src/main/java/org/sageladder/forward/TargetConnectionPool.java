package org.sageladder.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.placing.TargetFacts;
import org.sageladder.core.placing.TargetIncarnation;

/**
 * Open connections to targets, kept for the next request to the same start of a target.
 *
 * <p>The last one used is taken first, so that those not needed grow old and are closed.
 */
final class TargetConnectionPool {
  /**
   * A target that does not say how long it keeps idle connections is taken to keep them so long.
   */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Part of the stated idle time after which a connection may be closing at this moment. */
  private static final double SAFE_IDLE_FRACTION = 0.7;

  /**
   * A connection is established within a way there and back; half a second leaves room for 110 ms
   * between regions and for one slow accept, and finds a dark target while there is time for
   * another.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final Loop loop;
  private final Dialect dialect;
  private final Map<TargetIncarnation, Deque<TargetConnection>> idleConnections = new HashMap<>();

  TargetConnectionPool(Loop loop, Dialect dialect) {
    this.loop = loop;
    this.dialect = dialect;
  }

  /**
   * Hands a connection to {@code ready}, or the reason why there is none to {@code failed}.
   *
   * @param mostIdleMillis a kept connection that has been idle for longer is not used
   * @param established told the milliseconds that a new connection took
   */
  void acquire(
      TargetFacts target,
      long mostIdleMillis,
      Consumer<TargetConnection> ready,
      Consumer<String> failed,
      DoubleConsumer established) {
    TargetConnection kept = takeIdle(target.incarnation(), mostIdleMillis);
    if (kept != null) {
      ready.accept(kept);
      return;
    }
    TargetConnection fresh = new TargetConnection(dialect, DEFAULT_IDLE_MILLIS);
    long from = loop.nowNanos();
    loop.connect(target.host(), target.port(), CONNECT_TIMEOUT_MILLIS, initializer(fresh))
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                failed.accept(String.valueOf(done.cause().getMessage()));
                return;
              }
              established.accept((loop.nowNanos() - from) / 1e6);
              ready.accept(fresh);
            });
  }

  private static ChannelInitializer<Channel> initializer(TargetConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        connection.install(channel.pipeline());
      }
    };
  }

  private @Nullable TargetConnection takeIdle(TargetIncarnation target, long mostIdleMillis) {
    Deque<TargetConnection> kept = idleConnections.get(target);
    long now = loop.nowMillis();
    while (kept != null && !kept.isEmpty()) {
      TargetConnection last = kept.removeLast();
      last.markInUse();
      if (last.isIdleBelowFraction(now, SAFE_IDLE_FRACTION)
          && last.isIdleAtMost(now, mostIdleMillis)) {
        return last;
      }
      last.abandon();
    }
    return null;
  }

  /** Takes a connection back after a whole answer; closes it where it cannot be used again. */
  void release(TargetIncarnation target, TargetConnection connection) {
    if (!connection.isReusable()) {
      connection.abandon();
      return;
    }
    Deque<TargetConnection> kept =
        idleConnections.computeIfAbsent(target, id -> new ArrayDeque<>());
    kept.addLast(connection);
    connection.markIdle(loop.nowMillis(), () -> kept.remove(connection));
  }

  /** Closes the idle connections to a start of a target that is gone. */
  void closeIdle(TargetIncarnation target) {
    Deque<TargetConnection> kept = idleConnections.remove(target);
    if (kept != null) {
      kept.forEach(
          connection -> {
            connection.markInUse();
            connection.abandon();
          });
    }
  }

  /** Closes connections that have been idle for too long to be used. */
  void sweep() {
    long now = loop.nowMillis();
    for (Deque<TargetConnection> kept : idleConnections.values()) {
      while (!kept.isEmpty() && !kept.peekFirst().isIdleBelowFraction(now, SAFE_IDLE_FRACTION)) {
        TargetConnection old = kept.removeFirst();
        old.markInUse();
        old.abandon();
      }
    }
  }
}
