package org.sageladder.forward.control;

/**
 * An entry VM that callers may use.
 *
 * @param name its name
 * @param address host and port for callers
 * @param peerAddress host and port for datagrams of other VMs, or empty if it receives none
 */
public record EntryVm(String name, String zone, String region, String address, String peerAddress) {
  /** Host of {@link #peerAddress}. */
  public String peerHost() {
    return peerAddress.substring(0, peerAddress.lastIndexOf(':'));
  }

  /** Port of {@link #peerAddress}. */
  public int peerPort() {
    return Integer.parseInt(peerAddress.substring(peerAddress.lastIndexOf(':') + 1));
  }
}
