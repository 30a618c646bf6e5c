package org.sageladder.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.permit.KeyRing;

/**
 * The connections of one entry VM to its peers, opened when there is a message to send and closed
 * when idle.
 *
 * <pre>{@code
 * InnerLinks links = InnerLinks.open("127.0.0.1", 0, identity, keys::ring, receiver);
 * links.updateAddress(new PeerAddress("vm-2", "127.0.0.1", 7102));
 * links.send("vm-2", message);
 * }</pre>
 *
 * <p>Messages to one peer arrive in order until its connection ends; a message sent while a
 * connection fails may be lost without notice. Thread-safe.
 */
public final class InnerLinks implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 30;
  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_QUEUED_MESSAGES = 256;
  private static final int LOW_WATER_MARK_BYTES = 1 << 20;
  private static final int HIGH_WATER_MARK_BYTES = 4 << 20;
  private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Receiver receiver;
  private final Handshake handshake;
  private final LinkCounters counters = new LinkCounters();
  private final EventLoopGroup eventLoop;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();
  private final Map<String, Channel> links = new ConcurrentHashMap<>();
  private final Map<String, Long> reconnectAtNanos = new ConcurrentHashMap<>();
  // Only accessed on the event loop's single thread.
  private final Map<String, Queue<byte[]>> queuedMessages = new HashMap<>();
  private @Nullable Channel serverChannel;

  /**
   * Receives messages and connection events; called on the event loop's thread, so it must not
   * block.
   */
  public interface Receiver {
    /** Called with a message from an authenticated peer. */
    void onMessage(String vm, InnerMessage message);

    /** Called when a connection with a peer is open. */
    void onLinkOpened(String vm);

    /**
     * Called when the connection with a peer has ended or could not be opened; messages may be
     * lost.
     */
    void onLinkLost(String vm);
  }

  private InnerLinks(LinkIdentity identity, Supplier<Optional<KeyRing>> keys, Receiver receiver) {
    this.receiver = receiver;
    this.handshake = new Handshake(identity, keys);
    this.eventLoop =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
  }

  /**
   * Listens on {@code port} of {@code host}; port 0 selects a free one.
   *
   * @param keys the customer's keys; while there are none, no connection is opened or accepted
   * @throws IOException if the port cannot be opened
   */
  public static InnerLinks open(
      String host,
      int port,
      LinkIdentity identity,
      Supplier<Optional<KeyRing>> keys,
      Receiver receiver)
      throws IOException {
    InnerLinks links = new InnerLinks(identity, keys, receiver);
    links.listen(host, port);
    return links;
  }

  private void listen(String host, int port) throws IOException {
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
            .childHandler(channelInitializer(null))
            .bind(host, port)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      close();
      throw new IOException(
          "inner port " + host + ":" + port + " cannot be opened; is it in use?",
          bindFuture.cause());
    }
    serverChannel = bindFuture.channel();
  }

  /** The port that peers connect to, or 0 if it is not open. */
  public int port() {
    Channel channel = serverChannel;
    return channel == null ? 0 : ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Sets the address of a peer; a later address replaces an earlier one. */
  public void updateAddress(PeerAddress peer) {
    PeerAddress previous = addresses.put(peer.vm(), peer);
    if (previous != null && !previous.equals(peer)) {
      reconnectAtNanos.remove(peer.vm());
    }
  }

  /** Connects to a peer whose name is not known yet; {@link Receiver#onLinkOpened} reports it. */
  public void connectToUnnamedPeer(String host, int port) {
    connect(new PeerAddress("", host, port), "");
  }

  /** Returns true if a connection with the peer is open. */
  public boolean isOpen(String vm) {
    return links.containsKey(vm);
  }

  /** Number of open connections. */
  public int openLinkCount() {
    return links.size();
  }

  /**
   * Sends a message, and connects to the peer first if there is no open connection.
   *
   * @return false if the peer's address is not known, if connecting to it failed a moment ago, or
   *     if its write buffer is full
   */
  public boolean send(String vm, InnerMessage message) {
    byte[] body = MessageCodec.encode(message);
    Channel link = links.get(vm);
    if (link != null) {
      if (!link.isWritable()) {
        counters.countUnsent();
        return false;
      }
      var unused = link.writeAndFlush(body, link.voidPromise());
      return true;
    }
    PeerAddress address = addresses.get(vm);
    Long reconnectAt = reconnectAtNanos.get(vm);
    if (address == null || (reconnectAt != null && System.nanoTime() - reconnectAt < 0)) {
      counters.countUnsent();
      return false;
    }
    eventLoop.execute(() -> sendOrQueue(address, body));
    return true;
  }

  /** Counts the traffic over all links since the start. */
  public LinkCounters counters() {
    return counters;
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    }
    var unused = eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void sendOrQueue(PeerAddress address, byte[] body) {
    Channel link = links.get(address.vm());
    if (link != null) {
      var unused = link.writeAndFlush(body, link.voidPromise());
      return;
    }
    Queue<byte[]> queue = queuedMessages.get(address.vm());
    if (queue == null) {
      queue = new ArrayDeque<>();
      queuedMessages.put(address.vm(), queue);
      connect(address, address.vm());
    }
    if (queue.size() < MAX_QUEUED_MESSAGES) {
      queue.add(body);
    } else {
      counters.countUnsent();
    }
  }

  private void connect(PeerAddress address, String expectedVm) {
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
            .handler(channelInitializer(expectedVm))
            .connect(address.host(), address.port());
    var unused =
        connectFuture.addListener(
            completed -> {
              if (!completed.isSuccess()) {
                onConnectFailed(expectedVm);
              }
            });
  }

  private void onConnectFailed(String vm) {
    if (vm.isEmpty()) {
      return;
    }
    long delayNanos =
        (long) (RECONNECT_DELAY_NANOS * (0.5 + ThreadLocalRandom.current().nextDouble()));
    reconnectAtNanos.put(vm, System.nanoTime() + delayNanos);
    queuedMessages.remove(vm);
    receiver.onLinkLost(vm);
  }

  private ChannelInitializer<SocketChannel> channelInitializer(@Nullable String expectedVm) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        if (expectedVm == null && channels.size() >= MAX_CONNECTIONS) {
          var unused = channel.close();
          return;
        }
        channels.add(channel);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS, 0, 0));
        pipeline.addLast(
            LinkHandler.FRAME_DECODER,
            new LengthFieldBasedFrameDecoder(
                LinkHandler.MAX_HANDSHAKE_FRAME_BYTES,
                0,
                LinkHandler.LENGTH_FIELD_BYTES,
                0,
                LinkHandler.LENGTH_FIELD_BYTES));
        LinkEvents events = new LinkEvents(expectedVm);
        pipeline.addLast(
            expectedVm == null
                ? LinkHandler.accepting(handshake, counters, events)
                : LinkHandler.connecting(handshake, counters, events, expectedVm));
      }
    };
  }

  private final class LinkEvents implements LinkHandler.Events {
    private final @Nullable String expectedVm;
    private boolean wasOpen;

    private LinkEvents(@Nullable String expectedVm) {
      this.expectedVm = expectedVm;
    }

    @Override
    public void onOpened(String vm, ChannelHandlerContext context) {
      wasOpen = true;
      links.put(vm, context.channel());
      reconnectAtNanos.remove(vm);
      Queue<byte[]> queue = queuedMessages.remove(vm);
      if (queue != null) {
        for (byte[] body : queue) {
          var unused = context.channel().write(body, context.channel().voidPromise());
        }
        context.channel().flush();
      }
      receiver.onLinkOpened(vm);
    }

    @Override
    public void onMessage(String vm, InnerMessage message) {
      receiver.onMessage(vm, message);
    }

    @Override
    public void onClosed(@Nullable String vm, ChannelHandlerContext context) {
      if (!wasOpen && expectedVm != null) {
        onConnectFailed(expectedVm);
      }
      if (vm != null && links.remove(vm, context.channel())) {
        receiver.onLinkLost(vm);
      }
    }
  }
}
