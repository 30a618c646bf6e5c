package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;

/**
 * Opens connections and ports for a loop.
 *
 * <p>{@link Sockets} opens real ones; a simulated network opens others, so that the same forwarding
 * code can be played on virtual time.
 */
public interface Transport {
  /**
   * Opens a connection.
   *
   * @param connectMillis time after which the attempt to connect fails
   * @param handler what the connection's pipeline begins with
   */
  ChannelFuture connect(
      Loop loop, String host, int port, int connectMillis, ChannelHandler handler);

  /**
   * Opens a port.
   *
   * @param handler what the pipeline of each accepted connection begins with
   */
  ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler);

  /**
   * Opens a port for datagrams.
   *
   * @param failed called with the cause where the port cannot be opened
   */
  DatagramPort openDatagrams(
      Loop loop, String host, int port, DatagramPort.Receiver receiver, Consumer<Throwable> failed);
}
