package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A connection that can be read before the event loop finds it readable. */
final class ConnectedSocket extends NioSocketChannel {
  /** Enough for the head of a request; the rest is read by the event loop as usual. */
  private static final int MAX_READ_BYTES = 16 << 10;

  private static final int END_OF_STREAM = -1;

  /** Creates a connection that is still to be opened. */
  ConnectedSocket() {}

  /** Creates a connection that a {@link ListeningSocket} has accepted. */
  ConnectedSocket(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  /**
   * Reads what the kernel has received so far, without waiting for the event loop to find the
   * connection readable; closes the connection if its peer has.
   */
  void readReceived() {
    if (!isActive()) {
      return;
    }
    ByteBuf bytes = alloc().buffer(MAX_READ_BYTES);
    int count = tryRead(bytes);
    if (count > 0) {
      pipeline().fireChannelRead(bytes);
      pipeline().fireChannelReadComplete();
      return;
    }
    bytes.release();
    if (count == END_OF_STREAM) {
      Sockets.close(this);
    }
  }

  private int tryRead(ByteBuf bytes) {
    try {
      return doReadBytes(bytes);
    } catch (Exception e) {
      // The connection was reset.
      return END_OF_STREAM;
    }
  }
}
