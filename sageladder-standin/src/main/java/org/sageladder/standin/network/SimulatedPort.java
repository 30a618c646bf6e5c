package org.sageladder.standin.network;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.SocketAddress;
import org.jspecify.annotations.Nullable;

/** A listening port of a simulated host. */
final class SimulatedPort extends AbstractServerChannel {
  private final SimulatedNetwork network;
  private final SimulatedHost host;
  private final ChannelConfig config = new DefaultChannelConfig(this);
  private @Nullable SimulatedAddress address;
  private boolean isOpen = true;

  SimulatedPort(SimulatedNetwork network, SimulatedHost host) {
    this.network = network;
    this.host = host;
  }

  SimulatedHost host() {
    return host;
  }

  /** Accepts a connection, which is established at this end immediately. */
  void accept(SimulatedChannel channel) {
    channel.onEstablished();
    pipeline().fireChannelRead(channel);
    pipeline().fireChannelReadComplete();
  }

  @Override
  protected void doBind(SocketAddress to) throws IOException {
    SimulatedAddress local = (SimulatedAddress) to;
    network.bind(local, this);
    address = local;
  }

  @Override
  protected void doClose() {
    isOpen = false;
    SimulatedAddress bound = address;
    if (bound != null) {
      network.unbind(bound, this);
    }
  }

  @Override
  protected void doBeginRead() {}

  @Override
  protected boolean isCompatible(EventLoop loop) {
    return true;
  }

  @Override
  protected @Nullable SocketAddress localAddress0() {
    return address;
  }

  @Override
  public ChannelConfig config() {
    return config;
  }

  @Override
  public boolean isOpen() {
    return isOpen;
  }

  @Override
  public boolean isActive() {
    return isOpen && address != null;
  }
}
