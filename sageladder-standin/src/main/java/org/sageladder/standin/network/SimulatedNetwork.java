package org.sageladder.standin.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
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
 * Hosts in zones and regions, and what passes between them.
 *
 * <pre>{@code
 * SimulatedNetwork network = SimulatedNetwork.on(loop, Ways.standard(), seed);
 * SimulatedHost vm = network.host("10.0.0.1", "north-a", "north");
 * Loop vmLoop = network.loopOf(vm);       // what the VM's code is started with
 * try (Cut cut = network.cut((from, to) -> from == vm)) { ... } // nothing gets out of it
 * }</pre>
 */
public final class SimulatedNetwork {
  /** Idle time and probes after which a kernel gives a dead connection up, as daemons set them. */
  private static final long KEEP_ALIVE_TIMEOUT_MILLIS = 3_000;

  /** How long a kernel waits before it sends a lost packet again. */
  private static final long RETRANSMIT_DELAY_MILLIS = 200;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final int EPHEMERAL_PORT_BASE = 32_768;

  /**
   * One-way delays, in microseconds.
   *
   * @param sameZoneMicros inside a zone
   * @param crossZoneMicros between zones of a region
   * @param crossRegionMicros between regions
   * @param callerMicros between a zone and its callers, on top of the others
   */
  public record OneWayDelays(
      long sameZoneMicros, long crossZoneMicros, long crossRegionMicros, long callerMicros) {
    /** About what the users' regions have. */
    public static OneWayDelays standard() {
      return new OneWayDelays(100, 1_400, 20_000, 1_000);
    }
  }

  /** A cut between hosts, until it is closed. */
  public interface Partition extends AutoCloseable {
    @Override
    void close();
  }

  /** How an attempt to connect ends. */
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
  private final Map<SimulatedAddress, DatagramPort.Receiver> datagramReceivers = new HashMap<>();
  private double lossFraction;
  private int lastEphemeralPort = EPHEMERAL_PORT_BASE;

  private SimulatedNetwork(VirtualLoop loop, OneWayDelays delays, long seed) {
    this.loop = loop;
    this.delays = delays;
    this.random = new Random(seed);
  }

  /** A network without hosts. */
  public static SimulatedNetwork on(VirtualLoop loop, OneWayDelays delays, long seed) {
    return new SimulatedNetwork(loop, delays, seed);
  }

  /** Adds a host with power and nothing running on it. */
  public SimulatedHost addHost(String ip, String zone, String region) {
    return register(new SimulatedHost(this, ip, zone, region, false));
  }

  /** Adds a host of callers, which are farther from everything than the zone's own hosts. */
  public SimulatedHost addCallerHost(String ip, String zone, String region) {
    return register(new SimulatedHost(this, ip, zone, region, true));
  }

  private SimulatedHost register(SimulatedHost host) {
    hosts.put(host.ip(), host);
    return host;
  }

  /** The loop of the process that runs on {@code host} from now on, until it ends. */
  public Loop processLoop(SimulatedHost host) {
    return Loop.on(loop, loop.timeSource(0), new HostTransport(host), host.processExecutor());
  }

  /** Lets nothing pass from one host to another where {@code blocks} says so. */
  public Partition partition(BiPredicate<SimulatedHost, SimulatedHost> blocks) {
    partitions.add(blocks);
    scheduleKeepAliveCheck();
    return () -> partitions.remove(blocks);
  }

  /** Kernels notice that a host has lost its power by their keep-alive probes. */
  public void powerOff(SimulatedHost host) {
    host.powerOff();
    scheduleKeepAliveCheck();
  }

  /** Loses that share of what is sent between zones; kernels send it again later. */
  public void setLossFraction(double fraction) {
    lossFraction = fraction;
  }

  /** Resets {@code share} of the host's connections, or makes them silent for good. */
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

  /** Kernels look at their connections once probes have had no answer for long enough. */
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

  /** True where packets pass between the hosts in both directions. */
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
    long at = nowNanos() + micros * NANOS_PER_MICRO;
    boolean lost = !from.zone().equals(to.zone()) && random.nextDouble() < lossFraction;
    return lost ? at + RETRANSMIT_DELAY_MILLIS * NANOS_PER_MILLI : at;
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

  /** Opens a connection from {@code client}, as its handshake goes over the network. */
  void connect(SimulatedChannel client, SimulatedAddress to, ConnectListener listener) {
    SimulatedHost from = client.host();
    SimulatedHost target = hosts.get(to.ip());
    long timeout = client.config().getConnectTimeoutMillis() * NANOS_PER_MILLI;
    scheduleAt(
        nowNanos() + timeout,
        () ->
            from.execute(
                () -> listener.onFailed(new ConnectException("connection timed out: " + to))));
    if (target == null) {
      return;
    }
    scheduleAt(
        arrivalNanos(from, target),
        () -> target.execute(() -> handleConnect(client, target, to, listener)));
  }

  private void handleConnect(
      SimulatedChannel client, SimulatedHost target, SimulatedAddress to, ConnectListener answer) {
    SimulatedHost from = client.host();
    if (!isReachable(from, target) || !isReachable(target, from) || !client.isOpen()) {
      return;
    }
    SimulatedPort port = ports.get(to);
    if (port == null) {
      scheduleAt(
          arrivalNanos(target, from),
          () ->
              from.execute(
                  () -> answer.onFailed(new ConnectException("Connection refused: " + to))));
      return;
    }
    SimulatedChannel server = new SimulatedChannel(port, this, target);
    SimulatedChannel.connectPair(client, server, to, allocateEphemeralPort());
    port.accept(server);
    scheduleAt(arrivalNanos(target, from), () -> from.execute(answer::onEstablished));
  }

  /** Datagrams are lost at a cut, at a host without power, and by the share that links lose. */
  private void sendDatagram(
      SimulatedHost from, SimulatedAddress own, SimulatedAddress to, byte[] bytes) {
    SimulatedHost target = hosts.get(to.ip());
    boolean lost =
        target == null
            || (!from.zone().equals(target.zone()) && random.nextDouble() < lossFraction);
    if (lost) {
      return;
    }
    scheduleAt(
        arrivalNanos(from, target),
        () -> {
          DatagramPort.Receiver receiver = datagramReceivers.get(to);
          if (receiver != null && target.isPowered() && isReachable(from, target)) {
            receiver.onDatagram(own.ip(), own.port(), bytes);
          }
        });
  }

  private int allocateEphemeralPort() {
    lastEphemeralPort++;
    return lastEphemeralPort;
  }

  private final class HostTransport implements Transport {
    private final SimulatedHost host;

    HostTransport(SimulatedHost host) {
      this.host = host;
    }

    @Override
    public ChannelFuture connect(
        Loop from, String to, int port, int connectMillis, ChannelHandler handler) {
      return new Bootstrap()
          .group(from.eventLoop())
          .channelFactory(() -> new SimulatedChannel(null, SimulatedNetwork.this, host))
          // Netty's table of resolvers is static and would keep each loop, and with it a whole day.
          .disableResolver()
          .option(ChannelOption.ALLOCATOR, from.allocator())
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
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
