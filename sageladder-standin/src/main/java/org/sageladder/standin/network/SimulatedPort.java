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

  /** Takes a connection in; it can be used at this end at once. */
  void accept(SimulatedChannel channel) {
    channel.onEstablished();
    pipeline().fireChannelRead(channel);
    pipeline().fireChannelReadComplete();
  }

  @Override
  protected void doBind(SocketAddress to) throws IOException {
    SimulatedAddress wanted = (SimulatedAddress) to;
    network.bind(wanted, this);
    address = wanted;
  }

  @Override
  protected void doClose() {
    isOpen = false;
    SimulatedAddress known = address;
    if (known != null) {
      network.unbind(known, this);
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
