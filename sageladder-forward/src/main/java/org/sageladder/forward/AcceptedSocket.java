package org.sageladder.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A connection that a {@link ListeningSocket} has accepted. */
final class AcceptedSocket extends NioSocketChannel {
  /** Enough for the head of a request; the rest is read by the event loop as usual. */
  private static final int MAX_READ_BYTES = 16 << 10;

  AcceptedSocket(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  /**
   * Reads what the kernel has received so far, without waiting for the event loop to find the
   * connection readable.
   */
  void readReceived() {
    if (!isActive()) {
      return;
    }
    ByteBuf bytes = alloc().buffer(MAX_READ_BYTES);
    if (tryRead(bytes) <= 0) {
      bytes.release();
      return;
    }
    pipeline().fireChannelRead(bytes);
    pipeline().fireChannelReadComplete();
  }

  private int tryRead(ByteBuf bytes) {
    try {
      return doReadBytes(bytes);
    } catch (Exception e) {
      // The event loop meets the same failure and closes the connection.
      return 0;
    }
  }
}
