package org.sageladder.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Pool of connections to targets or to other entry VMs, each reused only for the same peer.
 *
 * <p>The most recently used connection is taken first, so that surplus ones age and are closed.
 *
 * @param <K> identifies a peer, such as an incarnation of a target
 */
final class TargetConnectionPool<K> {
  /** Assumed idle timeout of a target that does not state one. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Fraction of the stated idle timeout after which the target may be closing the connection. */
  private static final double SAFE_IDLE_FRACTION = 0.7;

  /**
   * Connecting takes one round trip. 500 ms leaves room for 110 ms between regions and for one slow
   * accept, and detects an unreachable target while there is time to try another.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /** Idle limit of a request that must use a new connection. */
  private static final long NEW_CONNECTION_ONLY = -1;

  /**
   * Time for which a peer that has sent a part of a response before another one is suspected to do
   * so again. The response behind such a part is lost, which costs requests that must not repeat
   * their result; on a new connection nothing can stand before it.
   */
  private static final long SUSPECT_MILLIS = 10_000;

  private final Loop loop;
  private final Dialect dialect;
  private final BiConsumer<K, DiscardedResponse> discardListener;
  private final Map<K, Deque<TargetConnection>> idleConnections = new HashMap<>();
  private final Map<K, Long> suspectedUntilMillis = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param discardListener receives what connections to a peer discard
   */
  TargetConnectionPool(
      Loop loop, Dialect dialect, BiConsumer<K, DiscardedResponse> discardListener) {
    this.loop = loop;
    this.dialect = dialect;
    this.discardListener = discardListener;
  }

  /**
   * Passes a connection to {@code ready}, or the reason why there is none to {@code failed}.
   *
   * @param peer the peer that accepts connections at {@code host:port}
   * @param maxIdleMillis an idle connection older than this is not reused; none if negative
   * @param established receives the milliseconds that opening a new connection took
   */
  void acquire(
      K peer,
      String host,
      int port,
      long maxIdleMillis,
      Consumer<TargetConnection> ready,
      Consumer<String> failed,
      DoubleConsumer established) {
    if (maxIdleMillis == NEW_CONNECTION_ONLY) {
      closeOldestIdle(peer);
    }
    TargetConnection idle = maxIdleMillis < 0 ? null : takeIdle(peer, maxIdleMillis);
    if (idle != null) {
      ready.accept(idle);
      return;
    }
    TargetConnection connection = newConnection(peer);
    long from = loop.nowNanos();
    loop.connect(host, port, CONNECT_TIMEOUT_MILLIS, initializer(connection))
        .addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                failed.accept(String.valueOf(done.cause().getMessage()));
                return;
              }
              connection.markOpened(loop.nowMillis());
              established.accept((loop.nowNanos() - from) / 1e6);
              ready.accept(connection);
            });
  }

  private TargetConnection newConnection(K peer) {
    return new TargetConnection(
        dialect,
        DEFAULT_IDLE_MILLIS,
        (from, reason, answeredId) -> onDiscarded(peer, from, reason, answeredId));
  }

  private void onDiscarded(
      K peer, TargetConnection from, DiscardedResponse.Reason reason, String answeredId) {
    long now = loop.nowMillis();
    if (reason == DiscardedResponse.Reason.MALFORMED && from.hasCarriedOtherRequests()) {
      suspectedUntilMillis.put(peer, now + SUSPECT_MILLIS);
    }
    discardListener.accept(
        peer,
        new DiscardedResponse(reason, from.requestIdInFlight(), answeredId, from.describe(now)));
  }

  /**
   * Maximum idle time of a connection to a peer that a non-idempotent request may reuse.
   *
   * @param maxIdleMillis the limit for a peer that is not suspected
   */
  long maxIdleMillisNonIdempotent(K peer, long maxIdleMillis) {
    boolean isSuspected =
        suspectedUntilMillis.getOrDefault(peer, Long.MIN_VALUE) > loop.nowMillis();
    return isSuspected ? NEW_CONNECTION_ONLY : maxIdleMillis;
  }

  private static ChannelInitializer<Channel> initializer(TargetConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        connection.install(channel.pipeline());
      }
    };
  }

  private @Nullable TargetConnection takeIdle(K peer, long maxIdleMillis) {
    Deque<TargetConnection> idle = idleConnections.get(peer);
    long now = loop.nowMillis();
    while (idle != null && !idle.isEmpty()) {
      TargetConnection last = idle.removeLast();
      last.markInUse();
      last.readReceived();
      if (last.isIdleBelowFraction(now, SAFE_IDLE_FRACTION)
          && last.isIdleAtMost(now, maxIdleMillis)) {
        return last;
      }
      last.abandon();
    }
    return null;
  }

  /**
   * Returns a connection to the pool after a complete response; closes it if it is not reusable.
   */
  void release(K peer, TargetConnection connection) {
    if (!connection.isReusable()) {
      connection.abandon();
      return;
    }
    Deque<TargetConnection> idle = idleConnections.computeIfAbsent(peer, id -> new ArrayDeque<>());
    idle.addLast(connection);
    connection.markIdle(loop.nowMillis(), () -> idle.remove(connection));
  }

  /** Makes room for a new connection at a peer that limits how many it accepts. */
  private void closeOldestIdle(K peer) {
    Deque<TargetConnection> idle = idleConnections.get(peer);
    TargetConnection oldest = idle == null ? null : idle.pollFirst();
    if (oldest != null) {
      oldest.markInUse();
      oldest.abandon();
    }
  }

  /** Closes the idle connections to a peer that has ended. */
  void closeIdle(K peer) {
    suspectedUntilMillis.remove(peer);
    Deque<TargetConnection> idle = idleConnections.remove(peer);
    if (idle != null) {
      idle.forEach(
          connection -> {
            connection.markInUse();
            connection.abandon();
          });
    }
  }

  /** Closes connections that have been idle for too long to be reused. */
  void sweep() {
    long now = loop.nowMillis();
    suspectedUntilMillis.values().removeIf(until -> until <= now);
    for (Deque<TargetConnection> idle : idleConnections.values()) {
      while (!idle.isEmpty() && !idle.peekFirst().isIdleBelowFraction(now, SAFE_IDLE_FRACTION)) {
        TargetConnection old = idle.removeFirst();
        old.markInUse();
        old.abandon();
      }
    }
  }
}
