package org.sageladder.standin.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.sageladder.forward.DatagramPort;
import org.sageladder.forward.Loop;
import org.sageladder.forward.Transport;

/**
 * A simulated network of hosts in zones and regions, with delays, loss and partitions.
 *
 * <pre>{@code
 * SimulatedNetwork network = SimulatedNetwork.on(loop, OneWayDelays.standard(), seed);
 * SimulatedHost vm = network.addHost("10.0.0.1", "north-a", "north");
 * Loop vmLoop = network.processLoop(vm); // runs the VM's code
 * try (Partition partition = network.partition((from, to) -> from == vm)) {
 *   // the VM cannot reach any other host
 * }
 * }</pre>
 */
public final class SimulatedNetwork {
  /** Idle time plus probes after which a kernel closes a dead connection, as daemons set them. */
  private static final long KEEP_ALIVE_TIMEOUT_MILLIS = 3_000;

  /** Retransmission timeout of a kernel for a lost packet. */
  private static final long RETRANSMIT_DELAY_MILLIS = 200;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final int EPHEMERAL_PORT_BASE = 32_768;

  private static final int MAX_PORT = 65_535;

  /**
   * One-way delays, in microseconds.
   *
   * @param sameZoneMicros within a zone
   * @param crossZoneMicros between zones of a region
   * @param crossRegionMicros between regions
   * @param callerMicros between a zone and its callers, added to the others
   */
  public record OneWayDelays(
      long sameZoneMicros, long crossZoneMicros, long crossRegionMicros, long callerMicros) {
    /** Returns delays close to those of the users' regions. */
    public static OneWayDelays standard() {
      return new OneWayDelays(100, 1_400, 20_000, 1_000);
    }
  }

  /** A network partition between hosts, which lasts until it is closed. */
  public interface Partition extends AutoCloseable {
    @Override
    void close();
  }

  /** Called with the result of a connect. */
  interface ConnectListener {
    void onEstablished();

    void onFailed(IOException cause);
  }

  private final VirtualLoop loop;
  private final OneWayDelays delays;
  private final Random random;
  private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
  private final Map<SimulatedAddress, SimulatedPort> ports = new LinkedHashMap<>();
  private final List<BiPredicate<SimulatedHost, SimulatedHost>> partitions = new ArrayList<>();
  private final List<BiPredicate<SimulatedHost, SimulatedHost>> refusals = new ArrayList<>();
  private final Map<SimulatedAddress, DatagramPort.Receiver> datagramReceivers = new HashMap<>();
  private double lossFraction;
  private int lastEphemeralPort = EPHEMERAL_PORT_BASE;

  private SimulatedNetwork(VirtualLoop loop, OneWayDelays delays, long seed) {
    this.loop = loop;
    this.delays = delays;
    this.random = new Random(seed);
  }

  /** Creates a network without hosts. */
  public static SimulatedNetwork on(VirtualLoop loop, OneWayDelays delays, long seed) {
    return new SimulatedNetwork(loop, delays, seed);
  }

  /** Adds a host that is powered on and runs no process. */
  public SimulatedHost addHost(String ip, String zone, String region) {
    return register(new SimulatedHost(this, ip, zone, region, false));
  }

  /** Adds a host for callers, which has a longer delay than the hosts of its zone. */
  public SimulatedHost addCallerHost(String ip, String zone, String region) {
    return register(new SimulatedHost(this, ip, zone, region, true));
  }

  private SimulatedHost register(SimulatedHost host) {
    hosts.put(host.ip(), host);
    return host;
  }

  /** Returns a loop for the current process of {@code host}, which drops tasks once that ends. */
  public Loop processLoop(SimulatedHost host) {
    return Loop.on(loop, loop.timeSource(0), new HostTransport(host), host.processExecutor());
  }

  /** Partitions the network: drops packets between two hosts if {@code blocks} accepts them. */
  public Partition partition(BiPredicate<SimulatedHost, SimulatedHost> blocks) {
    partitions.add(blocks);
    scheduleKeepAliveCheck();
    return () -> partitions.remove(blocks);
  }

  /** Refuses new connections that {@code blocks} accepts; open ones live on. */
  public Partition refuseConnections(BiPredicate<SimulatedHost, SimulatedHost> blocks) {
    refusals.add(blocks);
    return () -> refusals.remove(blocks);
  }

  /** Resets all connections between two hosts that {@code pairs} accepts, at its first argument. */
  public void resetConnections(BiPredicate<SimulatedHost, SimulatedHost> pairs) {
    for (SimulatedHost host : hosts.values()) {
      for (SimulatedChannel channel : host.channels()) {
        Pipe out = channel.out();
        if (out != null && pairs.test(host, out.to())) {
          host.execute(() -> channel.abort("Connection reset by peer"));
        }
      }
    }
  }

  /** Powers a host off; the kernels of its peers notice by keep-alive probes. */
  public void powerOff(SimulatedHost host) {
    host.powerOff();
    scheduleKeepAliveCheck();
  }

  /** Loses {@code fraction} of the packets between zones; kernels retransmit them. */
  public void setLossFraction(double fraction) {
    lossFraction = fraction;
  }

  /** Resets {@code fraction} of the host's connections, or blackholes what it sends on them. */
  public void disruptConnections(SimulatedHost host, double fraction, boolean blackholes) {
    for (SimulatedChannel channel : host.channels()) {
      if (random.nextDouble() >= fraction) {
        continue;
      }
      if (!blackholes) {
        host.execute(() -> channel.abort("Connection reset by peer"));
        continue;
      }
      Pipe out = channel.out();
      if (out != null) {
        out.blackhole();
      }
    }
    scheduleKeepAliveCheck();
  }

  /** Schedules a check that closes connections whose keep-alive probes went unanswered. */
  void scheduleKeepAliveCheck() {
    var unused =
        loop.schedule(this::abortDeadConnections, KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void abortDeadConnections() {
    for (SimulatedHost host : hosts.values()) {
      for (SimulatedChannel channel : host.channels()) {
        Pipe out = channel.out();
        if (out != null && out.isBlocked() && channel.hasKeepAlive()) {
          host.execute(() -> channel.abort("Connection timed out"));
        }
      }
    }
  }

  /** Returns whether packets pass between the hosts in both directions. */
  public boolean isReachableBothWays(SimulatedHost one, SimulatedHost other) {
    return isReachable(one, other) && isReachable(other, one);
  }

  boolean isReachable(SimulatedHost from, SimulatedHost to) {
    return partitions.stream().noneMatch(blocks -> blocks.test(from, to));
  }

  long nowNanos() {
    return loop.timeSource(0).nanos();
  }

  long arrivalNanos(SimulatedHost from, SimulatedHost to) {
    long micros = delays.crossRegionMicros();
    if (from.zone().equals(to.zone())) {
      micros = delays.sameZoneMicros();
    } else if (from.region().equals(to.region())) {
      micros = delays.crossZoneMicros();
    }
    if (from.isCallerHost() || to.isCallerHost()) {
      micros += delays.callerMicros();
    }
    long arrivalNanos = nowNanos() + micros * NANOS_PER_MICRO;
    boolean isLost = !from.zone().equals(to.zone()) && random.nextDouble() < lossFraction;
    return isLost ? arrivalNanos + RETRANSMIT_DELAY_MILLIS * NANOS_PER_MILLI : arrivalNanos;
  }

  void scheduleAt(long atNanos, Runnable task) {
    var unused = loop.schedule(task, Math.max(0, atNanos - nowNanos()), TimeUnit.NANOSECONDS);
  }

  void execute(Runnable task) {
    loop.execute(task);
  }

  void bind(SimulatedAddress address, SimulatedPort port) throws IOException {
    if (ports.putIfAbsent(address, port) != null) {
      throw new BindException("Address already in use: " + address);
    }
  }

  void unbind(SimulatedAddress address, SimulatedPort port) {
    ports.remove(address, port);
  }

  void closePorts(SimulatedHost host) {
    ports.values().removeIf(port -> port.host() == host);
    datagramReceivers.keySet().removeIf(address -> address.ip().equals(host.ip()));
  }

  /** Opens a connection from {@code client}; its handshake takes the network's delays. */
  void connect(SimulatedChannel client, SimulatedAddress to, ConnectListener listener) {
    SimulatedHost from = client.host();
    SimulatedHost remote = hosts.get(to.ip());
    long timeoutNanos = client.config().getConnectTimeoutMillis() * NANOS_PER_MILLI;
    scheduleAt(
        nowNanos() + timeoutNanos,
        () ->
            from.execute(
                () ->
                    listener.onFailed(new ConnectTimeoutException("connection timed out: " + to))));
    if (remote == null) {
      return;
    }
    scheduleAt(
        arrivalNanos(from, remote),
        () -> remote.execute(() -> handleConnect(client, remote, to, listener)));
  }

  private void handleConnect(
      SimulatedChannel client,
      SimulatedHost remote,
      SimulatedAddress to,
      ConnectListener listener) {
    SimulatedHost from = client.host();
    if (!isReachable(from, remote) || !isReachable(remote, from) || !client.isOpen()) {
      return;
    }
    SimulatedPort port = ports.get(to);
    if (port == null || refusals.stream().anyMatch(each -> each.test(from, remote))) {
      scheduleAt(
          arrivalNanos(remote, from),
          () ->
              from.execute(
                  () -> listener.onFailed(new ConnectException("Connection refused: " + to))));
      return;
    }
    SimulatedChannel server = new SimulatedChannel(port, this, remote);
    SimulatedChannel.connectPair(client, server, to, allocateEphemeralPort());
    port.accept(server);
    scheduleAt(arrivalNanos(remote, from), () -> from.execute(listener::onEstablished));
  }

  /** Datagrams are lost in a partition, at a powered-off host, and by the loss fraction. */
  private void sendDatagram(
      SimulatedHost from, SimulatedAddress own, SimulatedAddress to, byte[] bytes) {
    SimulatedHost remote = hosts.get(to.ip());
    boolean isLost =
        remote == null
            || (!from.zone().equals(remote.zone()) && random.nextDouble() < lossFraction);
    if (isLost) {
      return;
    }
    scheduleAt(
        arrivalNanos(from, remote),
        () -> {
          DatagramPort.Receiver receiver = datagramReceivers.get(to);
          if (receiver != null && remote.isPowered() && isReachable(from, remote)) {
            remote.execute(() -> receiver.onDatagram(own.ip(), own.port(), bytes));
          }
        });
  }

  private int allocateEphemeralPort() {
    boolean isLast = lastEphemeralPort == MAX_PORT;
    lastEphemeralPort = isLast ? EPHEMERAL_PORT_BASE : lastEphemeralPort + 1;
    return lastEphemeralPort;
  }

  private final class HostTransport implements Transport {
    private final SimulatedHost host;

    HostTransport(SimulatedHost host) {
      this.host = host;
    }

    @Override
    public ChannelFuture connect(
        Loop from, String to, int port, int connectTimeoutMillis, ChannelHandler handler) {
      return new Bootstrap()
          .group(from.eventLoop())
          .channelFactory(() -> new SimulatedChannel(null, SimulatedNetwork.this, host))
          // Netty's resolver table is static and would retain each loop with all its objects.
          .disableResolver()
          .option(ChannelOption.ALLOCATOR, from.allocator())
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
          .handler(handler)
          .connect(new SimulatedAddress(to, port));
    }

    @Override
    public ChannelFuture listen(Loop on, String ip, int port, ChannelHandler handler) {
      return new ServerBootstrap()
          .group(on.eventLoop())
          .channelFactory(() -> new SimulatedPort(SimulatedNetwork.this, host))
          .childOption(ChannelOption.ALLOCATOR, on.allocator())
          .childHandler(handler)
          .bind(new SimulatedAddress(ip, port));
    }

    @Override
    public DatagramPort openDatagrams(
        Loop on, String ip, int port, DatagramPort.Receiver receiver, Consumer<Throwable> failed) {
      SimulatedAddress own = new SimulatedAddress(ip, port);
      Executor process = host.processExecutor();
      datagramReceivers.put(
          own,
          (fromIp, fromPort, bytes) ->
              process.execute(() -> receiver.onDatagram(fromIp, fromPort, bytes)));
      return (toHost, toPort, bytes) ->
          sendDatagram(host, own, new SimulatedAddress(toHost, toPort), bytes);
    }
  }
}
