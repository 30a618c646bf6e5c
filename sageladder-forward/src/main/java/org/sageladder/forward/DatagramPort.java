package org.sageladder.forward;

/** An open port for datagrams. */
@FunctionalInterface
public interface DatagramPort {
  /** Takes datagrams as they come. */
  @FunctionalInterface
  interface Receiver {
    /** A datagram came from that address. */
    void onDatagram(String host, int port, byte[] bytes);
  }

  /** Sends a datagram, which may be lost; an address that cannot be reached is no error. */
  void send(String host, int port, byte[] bytes);
}
