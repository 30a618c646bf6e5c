package org.sageladder.forward.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;
import org.sageladder.forward.DatagramPort;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Transport;

/** Opens nothing, for tests whose store is an object. */
final class NoNetwork implements Transport {
  @Override
  public ChannelFuture connect(
      Loop loop, String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler) {
    throw new UnsupportedOperationException();
  }

  @Override
  public DatagramPort openDatagrams(
      Loop loop,
      String host,
      int port,
      DatagramPort.Receiver receiver,
      Consumer<Throwable> failed) {
    throw new UnsupportedOperationException();
  }
}
