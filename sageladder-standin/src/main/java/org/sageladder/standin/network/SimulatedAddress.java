package org.sageladder.standin.network;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/** IP address of a {@link SimulatedHost} and a port. */
@SuppressWarnings("serial") // never serialized; SocketAddress implements Serializable
public final class SimulatedAddress extends SocketAddress {
  private final String ip;
  private final int port;

  SimulatedAddress(String ip, int port) {
    this.ip = ip;
    this.port = port;
  }

  /** Returns the IP address. */
  public String ip() {
    return ip;
  }

  /** Returns the port. */
  public int port() {
    return port;
  }

  /** Returns the form in which a real socket gives its peer's address. */
  InetSocketAddress toSocketAddress() {
    try {
      return new InetSocketAddress(InetAddress.getByName(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("not an IP address: '" + ip + "'", e);
    }
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
