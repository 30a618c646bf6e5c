package org.sageladder.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;

/**
 * Opens connections and ports for an event loop.
 *
 * <p>{@link Sockets} opens real ones; a simulated network lets the same forwarding code run on
 * virtual time.
 */
public interface Transport {
  /**
   * Opens a connection.
   *
   * @param connectTimeoutMillis timeout for connecting
   * @param handler first handler of the connection's pipeline
   */
  ChannelFuture connect(
      Loop loop, String host, int port, int connectTimeoutMillis, ChannelHandler handler);

  /**
   * Opens a listening port.
   *
   * @param handler first handler of the pipeline of each accepted connection
   */
  ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler);

  /**
   * Opens a datagram port.
   *
   * @param failed receives the cause if the port cannot be opened
   */
  DatagramPort openDatagrams(
      Loop loop, String host, int port, DatagramPort.Receiver receiver, Consumer<Throwable> failed);
}
