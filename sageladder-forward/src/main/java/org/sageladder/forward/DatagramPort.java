package org.sageladder.forward;

/** An open datagram port. */
@FunctionalInterface
public interface DatagramPort {
  /** Receives datagrams. */
  @FunctionalInterface
  interface Receiver {
    /** A datagram was received from that address. */
    void onDatagram(String host, int port, byte[] bytes);
  }

  /** Sends a datagram, which may be lost; an unreachable address is not an error. */
  void send(String host, int port, byte[] bytes);
}
