package org.sageladder.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Opens TCP and datagram sockets that detect a silent peer.
 *
 * <p>A connection may go silent without a reset, and a peer behind a network partition does not
 * respond at all. The kernel's keep-alive probes end such a connection after about three seconds,
 * so that a request waiting on it fails before its caller gives up. Probes are enabled from the
 * start on connections of callers, and by {@link #enableKeepAlive} on others.
 */
public final class Sockets implements Transport {
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBE_COUNT = 2;

  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2 << 10;
  private static final int MAX_READ_BYTES = 16 << 10;

  /** More reads in a row would keep other connections waiting. */
  private static final int MAX_READS_IN_A_ROW = 4;

  /** Above the high-water mark of unwritten bytes to one peer, the sender is no longer read. */
  private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(32 << 10, 64 << 10);

  /** Maximum number of connections that wait to be accepted. */
  static final int ACCEPT_BACKLOG = 1024;

  private final @Nullable SocketAddress localAddress;

  /** Creates sockets whose local address the kernel chooses. */
  Sockets() {
    this(null);
  }

  private Sockets(@Nullable SocketAddress localAddress) {
    this.localAddress = localAddress;
  }

  /** Creates sockets whose outgoing connections have the local address {@code host}. */
  static Sockets from(String host) {
    return new Sockets(new InetSocketAddress(host, 0));
  }

  /** Closes a connection and ignores failures to do so. */
  public static void close(ChannelOutboundInvoker connection) {
    var unused = connection.close();
  }

  /**
   * Reads what has arrived on a connection and closes it if the peer has. To be called before a
   * decision that depends on it: an event loop that is late may not have read what arrived long
   * ago.
   */
  public static void readReceived(Channel connection) {
    if (connection instanceof ConnectedSocket socket) {
      socket.readReceived();
    }
  }

  /** Closes a listening port after accepting the connections that the kernel has established. */
  static void closeListening(Channel port) {
    if (port instanceof ListeningSocket listening && listening.isOpen()) {
      listening.acceptPending();
    }
    close(port);
  }

  /** Bytes that were written to a connection and that the kernel has not taken yet. */
  public static long unwrittenBytes(Channel connection) {
    ChannelOutboundBuffer unwritten = connection.unsafe().outboundBuffer();
    return unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
  }

  /** Enables keep-alive probes: the kernel ends the connection if the peer does not answer them. */
  public static void enableKeepAlive(Channel connection) {
    connection.config().setOption(ChannelOption.SO_KEEPALIVE, true);
  }

  /**
   * Closes a connection with a reset to discard what was sent on it.
   *
   * <p>Guards against requests that arrive after they were abandoned. After an ordinary close the
   * kernel retransmits bytes that the peer has not acknowledged until they arrive. Behind a network
   * cut that can be seconds after another target has answered the request, and at a target that
   * must not receive requests any more. A reset discards these bytes.
   */
  public static void abort(Channel connection) {
    if (connection.isOpen()) {
      connection.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    close(connection);
  }

  @Override
  public ChannelFuture connect(
      Loop loop, String host, int port, int connectTimeoutMillis, ChannelHandler handler) {
    return new Bootstrap()
        .group(loop.eventLoop())
        .channelFactory(ConnectedSocket::new)
        .option(ChannelOption.ALLOCATOR, loop.allocator())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
        .handler(handler)
        .connect(new InetSocketAddress(host, port), localAddress);
  }

  @Override
  public ChannelFuture listen(Loop loop, String host, int port, ChannelHandler handler) {
    return new ServerBootstrap()
        .group(loop.eventLoop())
        .channelFactory(ListeningSocket::new)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, loop.allocator())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, newReadSizes())
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

  private static RecvByteBufAllocator newReadSizes() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(MAX_READS_IN_A_ROW);
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
            .handler(
                datagramHandler(
                    (fromHost, fromPort, bytes) ->
                        loop.runGuarded(() -> receiver.onDatagram(fromHost, fromPort, bytes))))
            .bind(host, port)
            .addListener(
                (ChannelFuture done) -> {
                  if (!done.isSuccess()) {
                    failed.accept(done.cause());
                  }
                })
            .channel();
    return (toHost, toPort, bytes) -> {
      // A datagram that cannot be sent counts as lost; the sender repeats it if needed.
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
