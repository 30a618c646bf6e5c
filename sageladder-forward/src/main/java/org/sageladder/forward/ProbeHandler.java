package org.sageladder.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Handles a connection that only shows whether its peer accepts it; a reset just ends it. */
final class ProbeHandler extends ChannelInboundHandlerAdapter {
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The result of the probe is known by then.
    Sockets.close(ctx);
  }
}
