package org.sageladder.standin.network;

import java.net.SocketAddress;

/** IP number of a {@link SimulatedHost}, and a port there. */
@SuppressWarnings("serial") // Never serialized; the base class only happens to be serializable.
public final class SimulatedAddress extends SocketAddress {
  private final String ip;
  private final int port;

  SimulatedAddress(String ip, int port) {
    this.ip = ip;
    this.port = port;
  }

  /** The IP number. */
  public String ip() {
    return ip;
  }

  /** The port. */
  public int port() {
    return port;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SimulatedAddress address
        && ip.equals(address.ip)
        && port == address.port;
  }

  @Override
  public int hashCode() {
    return 31 * ip.hashCode() + port;
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
