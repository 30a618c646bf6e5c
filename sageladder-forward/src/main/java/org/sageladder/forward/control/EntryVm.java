package org.sageladder.forward.control;

/**
 * An entry VM that callers may be sent to.
 *
 * @param name its name
 * @param address host and port of its callers' port
 * @param peer host and port where it takes datagrams of other VMs, or empty where it takes none
 */
public record EntryVm(String name, String zone, String region, String address, String peer) {
  /** Host of {@link #peer}. */
  public String peerHost() {
    return peer.substring(0, peer.lastIndexOf(':'));
  }

  /** Port of {@link #peer}. */
  public int peerPort() {
    return Integer.parseInt(peer.substring(peer.lastIndexOf(':') + 1));
  }
}
