package org.sageladder.scenario.process;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.sageladder.core.time.TimeSource;
import org.sageladder.forward.DatagramPort;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Sockets;
import org.sageladder.forward.Transport;

/**
 * One process of a stand-in, which can be killed: its sockets are reset and its tasks are dropped.
 * All hosts share the event loop of {@code world}.
 *
 * <pre>{@code
 * StandInHost host = StandInHost.on(world);
 * TargetStandIn.start(host.loop(), facts, traits, ledger, seed, host::kill, ignored());
 * }</pre>
 */
final class StandInHost {
  private final Loop world;
  private final Loop loop;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private boolean isAlive = true;

  private StandInHost(Loop world) {
    this.world = world;
    this.loop =
        Loop.on(world.eventLoop(), TimeSource.system(), new TrackingTransport(), this::runIfAlive);
  }

  static StandInHost on(Loop world) {
    return new StandInHost(world);
  }

  /** The loop that the stand-in runs on. */
  Loop loop() {
    return loop;
  }

  boolean isAlive() {
    return isAlive;
  }

  /** Number of listening ports and connections. */
  int openChannelCount() {
    return channels.size();
  }

  /** Ends the process as a crash does. */
  void kill() {
    isAlive = false;
    List.copyOf(channels).forEach(Sockets::abort);
  }

  private void runIfAlive(Runnable task) {
    if (isAlive) {
      task.run();
    }
  }

  private void track(Channel channel) {
    channels.add(channel);
    channel.closeFuture().addListener(done -> channels.remove(channel));
  }

  private final class TrackingTransport implements Transport {
    @Override
    public ChannelFuture connect(
        Loop unused, String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
      ChannelFuture opened = world.connect(host, port, connectTimeoutMillis, handler);
      track(opened.channel());
      return opened;
    }

    @Override
    public ChannelFuture listen(Loop unused, String host, int port, ChannelHandler handler) {
      ChannelFuture opened =
          world.listen(
              host,
              port,
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                  track(channel);
                  channel.pipeline().addLast(handler);
                }
              });
      track(opened.channel());
      return opened;
    }

    @Override
    public DatagramPort openDatagrams(
        Loop unused,
        String host,
        int port,
        DatagramPort.Receiver receiver,
        Consumer<Throwable> failed) {
      return world.openDatagrams(host, port, receiver, failed);
    }
  }
}
