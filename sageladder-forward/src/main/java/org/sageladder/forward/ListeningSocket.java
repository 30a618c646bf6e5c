package org.sageladder.forward;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening port that can accept what waits in the kernel's queue before it is closed. */
final class ListeningSocket extends NioServerSocketChannel {
  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    SocketChannel socket = SocketUtils.accept(javaChannel());
    if (socket == null) {
      return 0;
    }
    accepted.add(new ConnectedSocket(this, socket));
    return 1;
  }

  /** Accepts the connections that wait in the kernel's queue, which a close would reset. */
  void acceptPending() {
    List<Object> accepted = new ArrayList<>();
    try {
      int count = 1;
      while (count > 0 && accepted.size() < Sockets.ACCEPT_BACKLOG) {
        count = doReadMessages(accepted);
      }
    } catch (IOException e) {
      // Out of descriptors, for example; the connections accepted so far are served.
    }
    accepted.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
  }
}
