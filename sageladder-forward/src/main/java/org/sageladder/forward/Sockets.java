package org.sageladder.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * Opens sockets that can notice a peer which fell silent.
 *
 * <p>A connection may go silent for good without a reset, and a peer behind a partition answers
 * nothing. Keep-alive probes of the kernel end such a connection after about three seconds, so that
 * what waits on it fails while its caller still waits. Connections of callers are watched so from
 * the beginning, others from {@link #enableKeepAlive} on.
 */
public final class Sockets implements Transport {
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBE_COUNT = 2;

  /** Bytes that may wait to be written to one peer before its source is no longer read. */
  private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(32 << 10, 64 << 10);

  private static final int ACCEPT_BACKLOG = 1024;

  Sockets() {}

  /**
   * Closes a connection, whatever comes of it: there is nothing left to do for one that fails to.
   */
  public static void close(ChannelOutboundInvoker connection) {
    var unused = connection.close();
  }

  /** From now on the kernel ends the connection where its probes get no answer. */
  public static void enableKeepAlive(Channel connection) {
    connection.config().setOption(ChannelOption.SO_KEEPALIVE, true);
  }

  /**
   * Ends a connection with a reset, since what was sent on it is withdrawn.
   *
   * <p>Guards against requests that arrive after all. An ordinary close leaves bytes that the peer
   * has not taken with the kernel, which sends them again until they arrive: behind a cut that is
   * seconds after the request was answered elsewhere, at a target that is to get nothing any more.
   * A reset drops them.
   */
  public static void abort(Channel connection) {
    if (connection.isOpen()) {
      connection.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    close(connection);
  }

  @Override
  public ChannelFuture connect(
      Loop loop, String host, int port, int connectMillis, ChannelHandler handler) {
    return new Bootstrap()
        .group(loop.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.ALLOCATOR, loop.allocator())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
        .handler(handler)
        .connect(host, port);
  }

  @Override
  public ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler) {
    return new ServerBootstrap()
        .group(loop.eventLoop())
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, loop.allocator())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
        .childOption(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .childOption(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .childOption(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
        .childHandler(handler)
        .bind(host, port);
  }

  @Override
  public DatagramPort openDatagrams(
      Loop loop,
      String host,
      int port,
      DatagramPort.Receiver receiver,
      Consumer<Throwable> failed) {
    Channel channel =
        new Bootstrap()
            .group(loop.eventLoop())
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.ALLOCATOR, loop.allocator())
            .handler(datagramHandler(receiver))
            .bind(host, port)
            .addListener(
                (ChannelFuture done) -> {
                  if (!done.isSuccess()) {
                    failed.accept(done.cause());
                  }
                })
            .channel();
    return (toHost, toPort, bytes) -> {
      // A datagram that is not sent counts as lost: whoever needs it sends again.
      var unused =
          channel.writeAndFlush(
              new DatagramPacket(
                  Unpooled.wrappedBuffer(bytes), new InetSocketAddress(toHost, toPort)));
    };
  }

  private static ChannelHandler datagramHandler(DatagramPort.Receiver receiver) {
    return new SimpleChannelInboundHandler<DatagramPacket>() {
      @Override
      protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        receiver.onDatagram(
            packet.sender().getAddress().getHostAddress(),
            packet.sender().getPort(),
            ByteBufUtil.getBytes(packet.content()));
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The kernel reports a peer's closed port here; the datagram counts as lost.
      }
    };
  }
}
